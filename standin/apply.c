#include <string.h>

#include "standin/fixture.h"

#define APPLY_TIMEOUT_MS 20000
#define APPLY_RETRY_MS 250

/* Version in force at VM; 0 if there is none or VM does not respond.  */
static uint64_t
version_in_force (const SiVm *vm)
{
  g_autofree char *text = si_get_text (vm->admin_address, "/v1/config", NULL);
  g_autoptr (CfConfig) config
      = text == NULL ? NULL : cf_from_json (text, strlen (text), NULL);

  return config == NULL ? 0 : config->version;
}

/* Daemons refuse changes until they receive reports from more than half of
   the members, so the change is retried while the fleet starts.  */
gboolean
si_apply_config (SiHarness *harness, CfConfig *config, GError **error)
{
  static uint32_t operation_count;
  const SiVm *vm = g_ptr_array_index (si_vms (harness), 0);
  int64_t end_us = g_get_monotonic_time () + (int64_t)APPLY_TIMEOUT_MS * 1000;

  g_free (config->op_id);
  g_free (config->author);
  config->op_id = g_strdup_printf ("harness-%u-%" G_GINT64_FORMAT,
                                   ++operation_count, g_get_real_time ());
  config->author = g_strdup ("harness");
  for (;;)
    {
      g_autofree char *body = NULL;

      config->version = version_in_force (vm) + 1;
      body = cf_change_to_json (config);
      if (si_post (vm->admin_address, "/v1/config", body, error))
        return TRUE;
      if (g_get_monotonic_time () >= end_us)
        return FALSE;
      g_clear_error (error);
      si_sleep_ms (APPLY_RETRY_MS);
    }
}
