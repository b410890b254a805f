/* settings.h - settings of a daemon on a platform

   DESCRIPTION
     The platform adapter fills them in and checks every field.  EnSettings
     owns all its strings.  */

#ifndef EN_SETTINGS_H
#define EN_SETTINGS_H

#include <glib.h>
#include <stdint.h>

/* Limits that all daemons together have to meet.  */
typedef struct
{
  uint32_t stop_grace_ms;     /* from SIGTERM to SIGKILL */
  uint32_t key_revocation_ms; /* until a revoked key must be refused */
  uint32_t config_apply_ms;   /* until a new configuration is in force */
  uint32_t lookup_ttl_max_ms; /* longest TTL of a lookup response */
  double retry_ratio;         /* retries for each request to a service */
  double retry_reserve_count; /* additional retries per window */
  uint32_t retry_window_ms;
} EnBounds;

/* Limits on connections of callers.  The counts leave file descriptors for
   targets, other daemons and the store.  */
typedef struct
{
  uint32_t callers_max;
  uint32_t per_address_max;  /* of callers */
  uint32_t lookups_max;      /* to the address for lookups */
  uint32_t probes_max;       /* to the address for readiness and metrics */
  uint32_t memory_mib;       /* for input and output of callers' connections */
  uint32_t body_timeout_ms;  /* first byte of a head to last byte of a body */
  uint32_t write_timeout_ms; /* without reading by the caller */
  uint32_t progress_kib;     /* a second, of large bodies and responses */
  uint32_t waiting_max;      /* responses of a target that wait for memory */
} EnConnectionLimits;

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
  uint32_t files_max;    /* open files that the system allows the daemon */
  uint32_t memory_mib;   /* above which the system ends the daemon */
  uint32_t link_mbps;    /* of the VM; 0: unknown */
  uint32_t cpu_permille; /* of one core; 0: unknown */
  double placement_imbalance; /* largest relative difference between the share
                                 of the objects of a target and its slots */
  EnConnectionLimits connections;
  EnBounds bounds;
} EnSettings;

void en_settings_free (EnSettings *settings);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (EnSettings, en_settings_free)

#endif
