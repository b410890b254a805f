/* entry.h - the daemon of an entry VM on a platform

   SYNOPSIS
     EnEntry *entry = en_new (settings, path, &error);
     en_run (entry);
     en_free (entry);

   DESCRIPTION
     Creates the modules of the daemon, connects their callbacks and handles
     signals.  SIGTERM and SIGINT stop it gracefully: look-ups no longer name
     it, it still serves callers that connect, and it exits once its requests
     are finished.  SIGHUP reloads the settings, as does a change of the file
     without a signal.

   ERRORS
     Those of the modules that listen on an address.  */

#ifndef EN_ENTRY_H
#define EN_ENTRY_H

#include <glib.h>

#include "entry/settings.h"

typedef struct EnEntry EnEntry;

/* Takes ownership of SETTINGS, which were read from PATH.  */
EnEntry *en_new (EnSettings *settings, const char *path, GError **error);
void en_run (EnEntry *entry);
void en_free (EnEntry *entry);

#endif
