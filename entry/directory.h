/* directory.h - where clients learn which entry VMs to use

   DESCRIPTION
     Serves look-ups on one address, and readiness and metrics on another.  A
     look-up names the entry VMs of the client's zone, or the next ones where
     that zone has none that is ready.  */

#ifndef EN_DIRECTORY_H
#define EN_DIRECTORY_H

#include <glib.h>

#include "entry/dialect.h"
#include "entry/settings.h"
#include "fleet/fleet.h"
#include "metric/metric.h"

typedef struct EnDirectory EnDirectory;

typedef struct
{
  struct event_base *base;
  const EnSettings *settings;
  const EnDialect *dialect;
  const FlFleet *fleet;
  MtTable *metrics;
  gboolean (*is_ready) (void *data);
  void (*before_metrics) (void *data); /* brings gauges up to date */
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

#endif
