/* target.h - emulated target, with the faults that targets may have

   SYNOPSIS
     EmTargetOptions options = { .base = base, .judge = judge, ... };
     EmTarget *target = em_target_new (&options, &error);
     em_target_set_fault (target, EM_FAULT_LATE_COPY, 10);

   DESCRIPTION
     A target serves HTTP/1.1 on one address: it runs `slots` requests at a
     time, queues a few more and refuses the others (503 with
     X-Comfreywalk-Not-Executed).  A request whose deadline passes in the queue
     is refused, too; one whose connection closes there is dropped.  One for
     another id than the target's is refused with 421.  What it runs is added
     to the judge.

     A fault is drawn for each response, with the percentage that was set:

       EM_FAULT_LATE_COPY  a second copy of the response comes where the next
                           one on the connection is due, or some ms later
       EM_FAULT_DOUBLE     a second copy comes at once
       EM_FAULT_STRAY      bytes that are no response follow
       EM_FAULT_TRUNCATE   the response ends early
       EM_FAULT_LOSE       no response; the connection closes
       EM_FAULT_RESET      no response; the connection is reset
       EM_FAULT_FAIL       500 instead of a success
       EM_FAULT_NO_ID      the response lacks the id of its request
       EM_FAULT_EARLY      a refusal is sent before the body is read, which is
                           read afterwards
       EM_FAULT_CLOSE      "Connection: close"
       EM_FAULT_SILENT     no response, and the connection stays open

   ERRORS
     SI_ERROR_SPAWN  the address cannot be bound  */

#ifndef EM_TARGET_H
#define EM_TARGET_H

#include "emulator/judge.h"

struct event_base;

typedef enum
{
  EM_FAULT_LATE_COPY,
  EM_FAULT_DOUBLE,
  EM_FAULT_STRAY,
  EM_FAULT_TRUNCATE,
  EM_FAULT_LOSE,
  EM_FAULT_RESET,
  EM_FAULT_FAIL,
  EM_FAULT_NO_ID,
  EM_FAULT_EARLY,
  EM_FAULT_CLOSE,
  EM_FAULT_SILENT,
  EM_FAULT_COUNT,
} EmFault;

typedef struct
{
  struct event_base *base;
  EmJudge *judge;
  GRand *random;
  const char *id;
  const char *address; /* ip:port */
  uint32_t slot_count;
  uint32_t queue_max_count;
  int64_t service_min_us;
  int64_t service_max_us;
  int64_t idle_timeout_us; /* of connections */
  gboolean tells_load;     /* in its responses */
} EmTargetOptions;

typedef struct EmTarget EmTarget;

EmTarget *em_target_new (const EmTargetOptions *options, GError **error);
void em_target_free (EmTarget *target);

void em_target_set_fault (EmTarget *target, EmFault fault, uint32_t percent);
/* Requests of other callers fill the slots and the queue most of the time
   until UNTIL_US, of the monotonic clock.  */
void em_target_occupy (EmTarget *target, int64_t until_us);
/* A frozen target reads and writes nothing and ends nothing.  */
void em_target_freeze (EmTarget *target, gboolean is_frozen);
/* Ends all connections, with a reset if RESETS, and listens no more.  What
   runs is lost.  */
void em_target_stop (EmTarget *target, gboolean resets);
/* Listens again, as a target named ID.  FALSE if the address is taken.  */
gboolean em_target_start (EmTarget *target, const char *id);
/* Header Server-Limit of all responses; 0: none.  */
void em_target_set_limit (EmTarget *target, uint32_t limit_per_s);

const char *em_target_id (const EmTarget *target);

extern const char *const em_fault_names[EM_FAULT_COUNT];

G_DEFINE_AUTOPTR_CLEANUP_FUNC (EmTarget, em_target_free)

#endif
