/* entry.h - the daemon of an entry VM on a platform

   SYNOPSIS
     EnEntry *entry = en_new (settings, path, &error);
     en_run (entry);
     en_free (entry);

   DESCRIPTION
     Creates the modules of the daemon, connects their callbacks and handles
     signals.  SIGTERM and SIGINT stop it gracefully: lookups no longer return
     this VM, and callers that still connect are served.  Shortly before the
     end of the grace period (EnBounds) it accepts no more connections, and
     exits once the last one has closed or the period is about to end.  SIGHUP
     reloads the bounds from the settings file, as does a change of the file
     without a signal; other settings take effect after a restart.

   ERRORS
     Those of the modules that listen on an address: EN_DIRECTORY_ERROR,
     FR_ERROR and GO_ERROR.  */

#ifndef EN_ENTRY_H
#define EN_ENTRY_H

#include <glib.h>

#include "entry/settings.h"

typedef struct EnEntry EnEntry;

/* Defers the signals that en_new handles; call this before reading the
   settings.  Otherwise one that comes during the start ends the process, or
   settings that change then are not read.  */
void en_block_signals (void);
/* Takes ownership of SETTINGS, which were read from PATH.  ERROR must not be
   NULL; the failure is also logged as EV_START_FAILED.  */
EnEntry *en_new (EnSettings *settings, const char *path, GError **error);
void en_run (EnEntry *entry);
void en_free (EnEntry *entry);

#endif
