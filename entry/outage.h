/* outage.h - whether a target may be missing from the store by mistake

   SYNOPSIS
     EnOutage outage = { 0 };
     en_outage_note_failure (&outage, now_us);
     if (en_outage_retains (&outage, now_us))
       ... keep the target although its entry was removed ...

   DESCRIPTION
     Entries of targets expire while the store is away, although the targets
     run.  So a target whose entry was removed during an outage is retained
     until EN_OUTAGE_RETAIN_US after the store replies again; by then a target
     that runs has registered again.

     An outage also ends when a region leader relays the changes of the store:
     a daemon that follows it makes no calls of its own, and would otherwise
     take a failure of long ago for one that lasts.

     A store that was restored from an older copy lacks entries, too, however
     short it was away.

     The package reads no clock and does no I/O.

   ERRORS
     None.  */

#ifndef EN_OUTAGE_H
#define EN_OUTAGE_H

#include <glib.h>
#include <stdint.h>

/* Targets register again within two seconds of the recovery of the store.
   This is less, since it starts when the recovery is detected, which takes
   some time.  */
#define EN_OUTAGE_RETAIN_US ((int64_t)1700000)
/* A shorter failure is that of a single call, during which no entry
   expires.  */
#define EN_OUTAGE_MIN_US ((int64_t)1000000)

typedef struct
{
  int64_t down_since_us;   /* first failure since the last success; 0: none */
  int64_t retain_until_us; /* end of retaining targets after an outage */
} EnOutage;

void en_outage_note_failure (EnOutage *outage, int64_t now_us);
/* The store came back from an older copy, which may lack entries.  */
void en_outage_note_restored (EnOutage *outage, int64_t now_us);
/* A call of this daemon succeeded.  Returns TRUE if that ends an outage, so
   that targets are retained for EN_OUTAGE_RETAIN_US from now.  */
gboolean en_outage_note_sync (EnOutage *outage, int64_t now_us);
/* The region leader relayed all changes of the store.  It retains targets
   itself, and relays no change while it does.  */
void en_outage_note_delta (EnOutage *outage);

gboolean en_outage_retains (const EnOutage *outage, int64_t now_us);

#endif
