#include <log4c.h>

#include "daemon/daemon.h"

static log4c_category_t *category;

static const int priorities[] = {
  [SE_LOG_ERROR] = LOG4C_PRIORITY_ERROR,
  [SE_LOG_WARNING] = LOG4C_PRIORITY_WARN,
  [SE_LOG_INFO] = LOG4C_PRIORITY_INFO,
  [SE_LOG_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

void
dm_log_start (SeLogLevel level)
{
  log4c_init ();
  category = log4c_category_get ("comfreywalkd");
  log4c_category_set_priority (category, priorities[level]);
  log4c_category_set_appender (category, log4c_appender_get ("stderr"));
}

static const int level_priorities[] = {
  [EV_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
  [EV_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
  [EV_LEVEL_WARNING] = LOG4C_PRIORITY_WARN,
  [EV_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
};

static void
append_field (GString *line, const char *name, const char *value)
{
  if (*value != '\0')
    g_string_append_printf (line, " %s=%s", name, value);
}

void
dm_log_event (const EvKind *kind, const EvEvent *event, void *data)
{
  g_autoptr (GString) line = g_string_new (NULL);

  (void)data;
  if (category == NULL)
    return;
  g_string_printf (line, "event=%d %s at_ms=%" G_GUINT64_FORMAT,
                   (int)kind->number, kind->name, event->stamp.wall_ms);
  append_field (line, "customer", event->customer);
  append_field (line, "target", event->target);
  append_field (line, "request", event->request_id);
  if (event->config_version != 0)
    g_string_append_printf (line, " config=%" G_GUINT64_FORMAT,
                            event->config_version);
  if (*event->detail != '\0')
    g_string_append_printf (line, " detail=\"%s\"", event->detail);
  log4c_category_log (category, level_priorities[kind->level], "%s",
                      line->str);
}

void
dm_log_stop (void)
{
  category = NULL;
  log4c_fini ();
}
