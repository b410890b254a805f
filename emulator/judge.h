/* judge.h - what callers were promised, against what targets ran

   SYNOPSIS
     EmJudge *judge = em_judge_new ();
     em_judge_add_attempt (judge, &(EmAttempt){ .id = "a1", ... });
     em_judge_add_run (judge, "a1", "t0", body_hash);
     em_judge_add_response (judge, &(EmResponse){ .id = "a1", ... });
     GPtrArray *violations = em_judge_check (judge);

   DESCRIPTION
     An attempt is one request of a caller, with an id of its own.  A status of
     408, 421, 429 or 503 promises that it has not run and never will; a check
     at the end of a run therefore covers runs after the response, too.

     em_judge_check returns one line for each violation, which begins with:

       refused    an attempt ran though its status promises that it did not
       twice      an attempt that may run once ran more than once
       mixed      a success that is not of the target that ran the attempt, or
                  that lacks the target's signature
       unasked    a target ran what no caller sent, or another body

   ERRORS
     None.  */

#ifndef EM_JUDGE_H
#define EM_JUDGE_H

#include <glib.h>
#include <stdint.h>

#define EM_ID_MAX 24

typedef struct
{
  char id[EM_ID_MAX];
  gboolean is_unsafe; /* may run once */
  uint64_t body_hash; /* as by em_hash */
} EmAttempt;

typedef struct
{
  const char *id; /* of the attempt that waits for the response */
  uint32_t status;
  const char *body; /* of a success: "ID TARGET" */
  gboolean has_signature;
} EmResponse;

typedef struct EmJudge EmJudge;

EmJudge *em_judge_new (void);
void em_judge_free (EmJudge *judge);

void em_judge_add_attempt (EmJudge *judge, const EmAttempt *attempt);
void em_judge_add_run (EmJudge *judge, const char *id, const char *target,
                       uint64_t body_hash);
void em_judge_add_response (EmJudge *judge, const EmResponse *response);

guint em_judge_attempt_count (const EmJudge *judge);
/* Attempts that were answered with STATUS; 0: those without a response.  */
guint em_judge_status_count (const EmJudge *judge, uint32_t status);

/* Returns strings; free with g_ptr_array_unref.  */
GPtrArray *em_judge_check (const EmJudge *judge);

#define EM_HASH_START 14695981039346656037U

/* FNV-1a of BYTES, continued from HASH, at first EM_HASH_START.  */
uint64_t em_hash (uint64_t hash, const void *bytes, gsize length);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (EmJudge, em_judge_free)

#endif
