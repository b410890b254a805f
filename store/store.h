/* store.h - the platform's key-value store and list of VMs

   SYNOPSIS
     StOptions opts = { .base = base, .address = "127.0.0.1", .port = 8500 };
     StStore *store = st_consul_new (&opts);
     st_get (store, "cw/assign", on_get, data);

   DESCRIPTION
     A store is a table of functions, so that another platform needs only
     another constructor.  Calls return at once; the callback is called once,
     from the event loop, also after a timeout.  Every call is counted, and a
     waiting watch counts as one each time it is armed.

     A write ends in one of four ways.  ST_OUTCOME_UNKNOWN means that the
     request may have been received and its answer was lost; the caller has
     to read back.  It is never reported as failure or success.

     Every call ends within timeout_ms, counted from the call and including
     the time it waits for a connection; a watch within wait_ms, its jitter
     and timeout_ms.  A watch has a connection of its own, so it delays no
     other call.  At most ST_QUEUE_MAX calls wait and at most ST_WATCHES_MAX
     watches are armed; a further one ends with ST_OUTCOME_DOWN.

   ERRORS
     Callbacks get an StOutcome; there is no other way to fail.  */

#ifndef ST_STORE_H
#define ST_STORE_H

#include <glib.h>
#include <stdint.h>

struct event_base;

/* A stalled store must not collect more calls than it can answer within one
   timeout: two thousand reads a second for two seconds, shared by many VMs. */
#define ST_QUEUE_MAX 1024
#define ST_WATCHES_MAX 32
/* A value of 1 MB in base64, with room for the other fields.  */
#define ST_ANSWER_MAX_BYTES (2 * 1024 * 1024)

typedef enum
{
  ST_OUTCOME_OK,      /* read: found; write: took effect */
  ST_OUTCOME_ABSENT,  /* read: no such key */
  ST_OUTCOME_LOST,    /* write: the expected index was not the current one */
  ST_OUTCOME_DOWN,    /* nothing was sent, or a read got no answer */
  ST_OUTCOME_UNKNOWN, /* write: may have taken effect */
} StOutcome;

typedef struct
{
  StOutcome outcome;
  /* Of the key; for a watch, what to wait after.  After a write that took
     effect it comes from a read of the key, and is 0 where that read failed
     or found another value.  */
  uint64_t index;
  const char *value;
  gsize length_bytes;
} StResult;

typedef struct
{
  char *id;
  char *zone;
  char *address; /* IP number */
  uint16_t port;
  gboolean leaving;
} StVm;

typedef void (*StDone) (const StResult *result, void *data);
/* VMS holds StVm and is valid during the call; NULL when the list could not be
   read.  INDEX is what to wait after.  */
typedef void (*StListDone) (const GPtrArray *vms, uint64_t index, void *data);

typedef struct StStore StStore;

typedef struct
{
  void (*get) (StStore *store, const char *key, StDone done, void *data);
  /* Answers when the key's index is above AFTER, or after wait_ms; at once
     where AFTER is 0.  */
  void (*watch) (StStore *store, const char *key, uint64_t after,
                 uint32_t wait_ms, StDone done, void *data);
  /* Writes VALUE if the key's index is EXPECTED; 0 creates.  */
  void (*cas) (StStore *store, const char *key, uint64_t expected,
               const char *value, gsize length_bytes, StDone done, void *data);
  /* Deletes every key that begins with PREFIX.  */
  void (*remove_prefix) (StStore *store, const char *prefix, StDone done,
                         void *data);
  /* VMs of a service; "entry" is the service of entry VMs.  */
  void (*list) (StStore *store, const char *service, uint64_t after,
                uint32_t wait_ms, StListDone done, void *data);
  /* Callbacks that are still due are not called.  */
  void (*free) (StStore *store);
} StClass;

struct StStore
{
  const StClass *methods;
  uint64_t read_count;
  uint64_t write_count;
  uint64_t watch_count;
};

typedef struct
{
  struct event_base *base;
  const char *address;
  uint16_t port;
  uint32_t timeout_ms;      /* default 2000 */
  uint32_t connections_max; /* default 8 */
} StOptions;

/* Speaks the HTTP API of Consul.  */
StStore *st_consul_new (const StOptions *options);

void st_get (StStore *store, const char *key, StDone done, void *data);
void st_watch (StStore *store, const char *key, uint64_t after,
               uint32_t wait_ms, StDone done, void *data);
void st_cas (StStore *store, const char *key, uint64_t expected,
             const char *value, gsize length_bytes, StDone done, void *data);
void st_remove_prefix (StStore *store, const char *prefix, StDone done,
                       void *data);
void st_list (StStore *store, const char *service, uint64_t after,
              uint32_t wait_ms, StListDone done, void *data);
void st_free (StStore *store);

#endif
