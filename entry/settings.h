/* settings.h - what a daemon on a platform is told at its start

   DESCRIPTION
     Filled by the adapter of the platform, which checks every field.  All
     strings belong to the settings.  */

#ifndef EN_SETTINGS_H
#define EN_SETTINGS_H

#include <glib.h>
#include <stdint.h>

/* Figures that all daemons together have to keep.  */
typedef struct
{
  uint32_t stop_grace_ms;     /* from SIGTERM to SIGKILL */
  uint32_t key_withdrawal_ms; /* until a withdrawn key must not work */
  uint32_t answer_ttl_ms;     /* longest time for a directory's answer */
  double retry_ratio;         /* repeats for each request to a service */
  double retry_reserve_count; /* further repeats in a window */
  uint32_t retry_window_ms;
} EnBounds;

typedef struct
{
  char *vm;
  char *zone;
  char *region;
  GHashTable *zones; /* zone to region */
  char *front_listen;
  char *ready_listen;
  char *directory_listen;
  char *gossip_listen;
  char *store_address;
  uint32_t files_max; /* open files that the machine grants the daemon */
  EnBounds bounds;
} EnSettings;

void en_settings_free (EnSettings *settings);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (EnSettings, en_settings_free)

#endif
