/* directory.h - HTTP servers for lookups of entry VMs, readiness and operators

   DESCRIPTION
     Serves lookups on one address; readiness, metrics and, on GET /where,
     explanations of requests (where.h) on another.  A
     lookup returns the ready entry VMs of the caller's zone; where that zone
     has none, those of the caller's region; and where the region has none,
     those of all regions.  Both addresses are served by front/, with its
   bounds on connections.  */

#ifndef EN_DIRECTORY_H
#define EN_DIRECTORY_H

#include <glib.h>

#include "entry/dialect.h"
#include "entry/settings.h"
#include "fleet/fleet.h"
#include "front/front.h"
#include "metric/metric.h"

typedef struct EnDirectory EnDirectory;

typedef struct
{
  struct event_base *base;
  const EnSettings *settings;
  const EnDialect *dialect;
  const FlFleet *fleet;
  MtRegistry *metrics;
  gboolean (*is_ready) (void *data);   /* whether this daemon is ready */
  void (*update_metrics) (void *data); /* sets gauges before each scrape */
  /* As en_where.  */
  uint32_t (*explain) (const char *query, char **json, void *data);
  void *data;
} EnDirectoryOptions;

#define EN_DIRECTORY_ERROR (en_directory_error_quark ())

typedef enum
{
  EN_DIRECTORY_ERROR_LISTEN,
} EnDirectoryError;

GQuark en_directory_error_quark (void);
EnDirectory *en_directory_new (const EnDirectoryOptions *options,
                               GError **error);
void en_directory_free (EnDirectory *directory);

const FrServer *en_directory_lookup_server (const EnDirectory *directory);
const FrServer *en_directory_health_server (const EnDirectory *directory);

#endif
