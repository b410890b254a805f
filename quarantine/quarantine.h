/* quarantine.h - requests that crash the targets that run them

   SYNOPSIS
     QrTable *table = qr_new ();
     if (qr_note_ended (table, content, incarnation, now_us))
       ... tell the other daemons ...
     if (qr_is_quarantined (table, content, now_us))
       ... refuse the request ...

   DESCRIPTION
     A request may crash each target that begins to run it.  Its caller, or a
     daemon, sends it to the next one.  Such a request is recognized by its
     content, a hash of customer, method, path and body.

     All requests that are on a target when it ends are suspects.  One that was
     on QR_ENDED_MAX targets when they ended is quarantined: no target should
     get it.  A content that has run well since the first of these ends is not
     the cause, whatever it was on, so it is forgotten.

     A quarantine ends QR_QUARANTINE_US after the last end; then the request is
     tried again, and quarantined again if one more target ends.  A table
   admits one such trial at a time; of several tables, each waits for its turn,
   so that a trial costs one target and not one for each daemon.  All tables
   are bounded, the oldest entries are dropped first.

     The package reads no clock and does no I/O.  Times are in microseconds of
     one monotonic clock.

   ERRORS
     None.  */

#ifndef QR_QUARANTINE_H
#define QR_QUARANTINE_H

#include <glib.h>
#include <stdint.h>

/* When many targets fail at once, other requests are on two or three of them
   that end before they run well; four are hardly ever, see quarantine_test. */
#define QR_ENDED_MAX 4
/* Long enough that tries cost a target now and then, and short enough for a
   request that is quarantined by mistake.  */
#define QR_QUARANTINE_US ((int64_t)60000000)
/* From a trial to the next one, here or at the daemon whose turn it is then;
   longer than a request may take.  */
#define QR_TRIAL_US ((int64_t)10000000)
/* After the last end, until all about a content is forgotten.  */
#define QR_TTL_US ((int64_t)600000000)
/* Contents that are suspects or quarantined.  */
#define QR_SUSPECTS_MAX 2048
/* Contents that have run well lately.  */
#define QR_SERVED_MAX 8192

typedef struct QrTable QrTable;

/* What a table knows of a content that was on targets when they ended.  */
typedef struct
{
  uint64_t content;
  int64_t first_ended_us;
  int64_t until_us; /* end of the quarantine; 0: there was none */
  uint64_t incarnations[QR_ENDED_MAX]; /* fewer than ended_count if another
                                          daemon has quarantined it */
  uint32_t ended_count; /* QR_ENDED_MAX: it is or was quarantined */
} QrSuspect;

QrTable *qr_new (void);
void qr_free (QrTable *table);

/* Notes that a request of CONTENT was on a target when it ended.  INCARNATION
   identifies the target since its start; each counts once.  Returns TRUE if
   CONTENT is quarantined.  */
gboolean qr_note_ended (QrTable *table, uint64_t content, uint64_t incarnation,
                        int64_t now_us);

/* The same for an end that another daemon has noted, which has first seen
   CONTENT on a target that ended at FIRST_ENDED_US.  Does not count it if
   CONTENT has run well since.  */
gboolean qr_take_over_ended (QrTable *table, uint64_t content,
                             uint64_t incarnation, int64_t first_ended_us,
                             int64_t now_us);

/* Notes that a request of CONTENT has run well.  Returns TRUE if CONTENT was a
   suspect or quarantined.  */
gboolean qr_note_served (QrTable *table, uint64_t content, int64_t now_us);

/* Quarantines CONTENT until UNTIL_US by the word of another daemon that has
   first seen it on a target that ended at FIRST_ENDED_US.  Returns FALSE, and
   does not, if CONTENT has run well since.  */
gboolean qr_add (QrTable *table, uint64_t content, int64_t first_ended_us,
                 int64_t until_us, int64_t now_us);

/* Forgets a content that has run well at another daemon.  */
void qr_remove (QrTable *table, uint64_t content);

gboolean qr_is_quarantined (QrTable *table, uint64_t content, int64_t now_us);
typedef enum
{
  QR_FREE, /* may be sent */
  QR_QUARANTINED,
  QR_TRIAL, /* may be sent once; the next ones are quarantined meanwhile */
} QrVerdict;

/* Decides on a request that is to be sent.  TURN is how many other tables come
   before this one with a trial.  */
QrVerdict qr_check (QrTable *table, uint64_t content, uint32_t turn,
                    int64_t now_us);

/* Returns NULL if CONTENT was on no target that ended.  */
const QrSuspect *qr_find (QrTable *table, uint64_t content);
/* Visits the suspects and quarantined contents, those that were noted last
   first.  VISIT must not change the table.  */
void qr_each (const QrTable *table,
              void (*visit) (const QrSuspect *suspect, void *data),
              void *data);
/* Suspects and quarantined contents.  */
uint32_t qr_count (const QrTable *table);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (QrTable, qr_free)

#endif
