/* holder.h - bounds on all connections of a process together

   SYNOPSIS
     MmHolderOptions options = { .limit_bytes = 24 << 20, .count_max = 600,
                                 .close = close_connection };
     MmHolders *holders = mm_holders_new (&options);
     MmHolder *holder = mm_holder_new (holders, &request);
     if (!mm_holder_resize (holder, held_bytes, now_us))
       reject (connection);
     mm_holder_free (holder);

   DESCRIPTION
     A holder is a connection that holds memory for input and output.  The sum
     of all holders exceeds the limit only by mm_holder_force, and their number
     never the maximum.

     A holder is busy while its request is handled here, and waiting while its
     peer has to send or to read something.  A waiting holder is silent until
     its peer has read output; one whose peer reads no more, or has
     nothing to read, becomes silent again by mm_holder_set_stalled.

     Where a new or growing holder does not fit, others are closed for it, one
     after the other:

     1. the silent one without progress for the longest time, provided that it
        made none for MM_HOLDER_GRACE_US;
     2. one of the address that holds most, if it has several and holds more
        than the one that asks would: that without progress for the longest
        time or, where memory is short, the largest.  So no address, however
        active, keeps others out;
     3. one of the same address, as in 2, that is silent and made no progress
        for MM_HOLDER_TURN_US: those that came first have had their turn.

     Those of 2 and 3 are displaced.  A busy holder is never closed.  If none
     is left, or the one that grows would itself be the first to be closed, it
     is refused.  Addresses of IPv6 with the same upper half count as one.

     The package has no clock and no I/O.  Times are in microseconds and must
     not decrease from call to call.

   ERRORS
     A refusal changes nothing, except that other holders may be closed.  */

#ifndef MM_HOLDER_H
#define MM_HOLDER_H

#include <glib.h>
#include <stdint.h>

/* A peer that has just connected is about to send its request.  */
#define MM_HOLDER_GRACE_US 1000000
/* The same beside others of its address.  A request mostly arrives with the
   last packet of the handshake.  */
#define MM_HOLDER_TURN_US 50000

#define MM_ADDRESS_BYTES 16

typedef struct MmHolders MmHolders;
typedef struct MmHolder MmHolder;

typedef struct
{
  uint64_t limit_bytes;
  uint32_t count_max; /* 0: no limit */
  /* Holders of one address; for more, only others of the address are closed.
     0 or count_max: no limit of its own.  */
  uint32_t address_count_max;
  /* Time without progress after which a holder makes room for others of its
     address; default MM_HOLDER_TURN_US.  */
  int64_t turn_us;
  /* Closes the connection of OWNER; must free the holder before it returns,
     and call no other function of the package.  */
  void (*close) (void *owner);
} MmHolderOptions;

typedef enum
{
  MM_REFUSED_COUNT,
  MM_REFUSED_ADDRESS,
  MM_REFUSED_MEMORY,
  MM_REFUSAL_COUNT,
} MmRefusal;

typedef struct
{
  uint64_t used_bytes;
  uint64_t peak_bytes;
  uint32_t count;
  uint64_t refused_counts[MM_REFUSAL_COUNT]; /* of new and growing holders */
  uint64_t closed_count;    /* silent holders closed for others */
  uint64_t displaced_count; /* others closed for those of lesser addresses or
                               for later ones of their own */
} MmHolderCounters;

typedef struct
{
  void *owner;
  const uint8_t *address; /* 16 bytes */
  uint64_t bytes;
  int64_t now_us;
} MmHolderRequest;

/* What does not fit elsewhere, as into a budget.  */
typedef struct
{
  const uint8_t *address;  /* 16 bytes, of the peer that needs it */
  const MmHolder *growing; /* is not closed; may be NULL */
  uint64_t bytes;
  gboolean silent_only; /* only closes what was silent for the grace */
  int64_t now_us;
} MmHolderDemand;

MmHolders *mm_holders_new (const MmHolderOptions *options);
/* No holder may be left.  */
void mm_holders_free (MmHolders *holders);
const MmHolderCounters *mm_holders_counters (const MmHolders *holders);

/* Closes the holder that is the first to make room for DEMAND.  FALSE if none
   may be closed.  */
gboolean mm_holders_close_one (MmHolders *holders,
                               const MmHolderDemand *demand);

/* Returns a waiting, silent holder, or NULL.  */
MmHolder *mm_holder_new (MmHolders *holders, const MmHolderRequest *request);
void mm_holder_free (MmHolder *holder);

/* FALSE if BYTES do not fit; fewer bytes than before always do.  */
gboolean mm_holder_resize (MmHolder *holder, uint64_t bytes, int64_t now_us);

/* The same for output that has to be sent, as the response to a request that
   may have run.  Silent holders are closed for it; where that is not enough,
   the sum exceeds the limit, and no holder grows until it is below again.  */
void mm_holder_force (MmHolder *holder, uint64_t bytes, int64_t now_us);

/* Counts BYTES if they are fewer than before; closes no other holder.  */
void mm_holder_shrink (MmHolder *holder, uint64_t bytes);

/* The request of the peer is complete and handled from now on.  */
void mm_holder_set_busy (MmHolder *holder);
/* The peer has to send or to read something from now on.  NOW_US may be
   earlier: when it last did its part.  */
void mm_holder_set_waiting (MmHolder *holder, int64_t now_us);
/* The peer has read output.  */
void mm_holder_note_read (MmHolder *holder, int64_t now_us);
/* The peer has read nothing for long, though there is output for it.  */
void mm_holder_set_stalled (MmHolder *holder);

/* Sets NETWORK to what counts as one address: ADDRESS for IPv4, given as
   ::ffff:a.b.c.d, and the /64 of IPv6.  */
void mm_network (uint8_t network[MM_ADDRESS_BYTES], const uint8_t *address);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (MmHolders, mm_holders_free)

#endif
