/* entry.h - the daemon of an entry VM on a platform

   SYNOPSIS
     EnEntry *entry = en_new (settings, path, &error);
     en_run (entry);
     en_free (entry);

   DESCRIPTION
     Wires the parts of the daemon and owns its signals.  SIGTERM and SIGINT
     stop it gracefully: it is no longer named to clients, still serves those
     that come, and ends once its requests are finished.  SIGHUP reads the
     settings again, as does a change of the file without a signal.

   ERRORS
     Those of the parts that listen.  */

#ifndef EN_ENTRY_H
#define EN_ENTRY_H

#include <glib.h>

#include "entry/settings.h"

typedef struct EnEntry EnEntry;

/* Takes SETTINGS, which were read from PATH.  */
EnEntry *en_new (EnSettings *settings, const char *path, GError **error);
void en_run (EnEntry *entry);
void en_free (EnEntry *entry);

#endif
