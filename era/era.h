/* era.h - whether a restored store may confirm a configuration

   SYNOPSIS
     ErGuard guard = { 0 };
     er_on_read (&guard, era, revision, now_us);
     if (!guard.is_settled)
       ... confirm no keys by what was read ...

   DESCRIPTION
     A store that was restored from a copy has lost the latest writes; what was
     withdrawn by one of them is granted again until the operator writes again.
     Each restore begins a new era of the store.  A daemon that ran before has
     read what there was; one that starts later cannot tell a lost
     configuration from one that there never was.

     So a started daemon takes an era for unsettled until it has the
     configuration written again, or the fleet has recorded the era as settled,
     or ER_SETTLE_US have passed.  The fleet records an era that it has seen
     for as long.  The first era of a store is settled.

     The package reads no clock and does no I/O.

   ERRORS
     None.  */

#ifndef ER_ERA_H
#define ER_ERA_H

#include <glib.h>
#include <stdint.h>

/* Eras count from it; 0 is a store that names none.  */
#define ER_FIRST 1
/* Other writers are back within some two seconds of the store's return.  */
#define ER_SETTLE_US ((int64_t)3000000)

/* Of one process; zeroed at its start.  */
typedef struct
{
  uint64_t era;          /* 0: nothing was read yet */
  uint64_t revision;     /* of the store at the first read of ERA */
  uint64_t recorded_era; /* by the fleet, as far as is known */
  int64_t seen_us;       /* first read of ERA */
  gboolean is_settled;
} ErGuard;

/* A read is complete.  Of each later era er_on_restored was called first.  */
void er_on_read (ErGuard *guard, uint64_t era, uint64_t revision,
                 int64_t now_us);
/* The store was restored, and is read again.  What this process knows of the
   era before holds, if that one was settled.  */
void er_on_restored (ErGuard *guard, uint64_t era, int64_t now_us);
/* The configuration was read; REVISION is that of its last write.  */
void er_on_config (ErGuard *guard, uint64_t revision);
/* The fleet has recorded ERA; 0: none.  */
void er_on_record (ErGuard *guard, uint64_t era);
/* A daemon for which the era is settled has the same configuration.  */
void er_on_confirmation (ErGuard *guard);

/* Whether the fleet should record the era.  */
gboolean er_wants_record (const ErGuard *guard, int64_t now_us);

#endif
