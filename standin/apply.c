#include <string.h>

#include "standin/fixture.h"

#define APPLY_MAX_MS 20000
#define RETRY_MS 250

/* Version in force at VM, 0 if there is none.  */
static uint64_t
current_version (const SiVm *vm)
{
  g_autofree char *text = si_get_text (vm->admin_address, "/v1/config", NULL);
  g_autoptr (CfConfig) config
      = text == NULL ? NULL : cf_from_json (text, strlen (text), NULL);

  return config == NULL ? 0 : config->version;
}

/* Daemons refuse a change until they hear more than half of the members, so
   it is tried again while the fleet starts.  */
gboolean
si_apply_config (SiHarness *harness, CfConfig *config, GError **error)
{
  static uint32_t operation;
  const SiVm *vm = g_ptr_array_index (si_vms (harness), 0);
  int64_t end_us = g_get_monotonic_time () + (int64_t)APPLY_MAX_MS * 1000;

  g_free (config->op_id);
  g_free (config->author);
  config->op_id = g_strdup_printf ("harness-%u-%" G_GINT64_FORMAT, ++operation,
                                   g_get_real_time ());
  config->author = g_strdup ("harness");
  for (;;)
    {
      g_autofree char *body = NULL;

      config->version = current_version (vm) + 1;
      body = cf_change_to_json (config);
      if (si_post (vm->admin_address, "/v1/config", body, error))
        return TRUE;
      if (g_get_monotonic_time () >= end_us)
        return FALSE;
      g_clear_error (error);
      si_sleep_ms (RETRY_MS);
    }
}
