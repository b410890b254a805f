/* store.h - the platform's key-value store and list of VMs

   SYNOPSIS
     StOptions opts = { .base = base, .address = "127.0.0.1", .port = 8500 };
     StStore *store = st_consul_new (&opts);
     st_get (store, "cw/assign", on_get, data);

   DESCRIPTION
     A store is a table of functions, so that support for another platform
     needs only another constructor.  Calls do not block; the callback is
     called once, from the event loop, also after a timeout.  Every call is
     counted; a watch counts as one each time it is started.

     The index of a key increases with each write of the key.  It is used to
     write only if the key is unchanged (CAS), and to wait for a change.

     A write ends in any StOutcome except ST_OUTCOME_ABSENT.
     ST_OUTCOME_UNKNOWN means that the store may have received the request,
     but no valid reply came back; the caller has to read the key back.  This
     case is never reported as failure or success.

     Every call ends within timeout_ms of its start and a slack of 50 ms,
     including the time that it waits for a connection; for a watch, wait_ms
     and up to 1/16 of it, which Consul adds at random, come on top.  A watch
     has its own connection, so it delays no other call.  At most ST_QUEUE_MAX
     calls are queued and at most ST_WATCHES_MAX watches are active; a further
     one ends with ST_OUTCOME_DOWN.

   ERRORS
     Calls fail only through the StOutcome, or the NULL list, that is passed
     to the callback.  */

#ifndef ST_STORE_H
#define ST_STORE_H

#include <glib.h>
#include <stdint.h>

struct event_base;

/* No more calls may queue up while the store is stalled than it can reply to
   within one timeout: 2000 reads per second for 2 s, shared by many VMs.  */
#define ST_QUEUE_MAX 1024
#define ST_WATCHES_MAX 32
/* Fits a value of 1 MB in base64, and the other fields of the response.  */
#define ST_RESPONSE_MAX_BYTES (2 * 1024 * 1024)

typedef enum
{
  ST_OUTCOME_OK,       /* read: found; write: took effect */
  ST_OUTCOME_ABSENT,   /* read: no such key */
  ST_OUTCOME_CONFLICT, /* write: the key's index was not the expected one */
  ST_OUTCOME_DOWN,     /* not sent, or a read got no valid reply */
  ST_OUTCOME_UNKNOWN,  /* write: may have taken effect */
} StOutcome;

typedef struct
{
  StOutcome outcome;
  /* Index of the key; for a watch, the after_index of the next watch.  After a
     successful CAS it comes from a read of the key, and is 0 if that read
     failed or found another value.  */
  uint64_t index;
  /* Of a read that found the key, else NULL; valid during the callback.  */
  const char *value;
  gsize length_bytes;
} StResult;

typedef struct
{
  char *id;
  char *zone;
  char *address; /* IP address */
  uint16_t port;
  gboolean leaving; /* takes no new requests and will be removed */
} StVm;

typedef void (*StCallback) (const StResult *result, void *data);
/* VMS holds StVm and is valid during the callback; it is NULL if the list
   could not be read or has a malformed entry.  INDEX is the after_index of the
   next call.  */
typedef void (*StListCallback) (const GPtrArray *vms, uint64_t index,
                                void *data);

typedef struct StStore StStore;

typedef struct
{
  void (*get) (StStore *store, const char *key, StCallback callback,
               void *data);
  /* Ends when the key's index is above AFTER_INDEX, or after WAIT_MS; at once
     if AFTER_INDEX is 0.  */
  void (*watch) (StStore *store, const char *key, uint64_t after_index,
                 uint32_t wait_ms, StCallback callback, void *data);
  /* Writes VALUE if the key's index is EXPECTED_INDEX, or if EXPECTED_INDEX is
     0 and there is no such key.  */
  void (*cas) (StStore *store, const char *key, uint64_t expected_index,
               const char *value, gsize length_bytes, StCallback callback,
               void *data);
  /* Deletes every key that begins with PREFIX.  */
  void (*delete_prefix) (StStore *store, const char *prefix,
                         StCallback callback, void *data);
  /* Lists the VMs of a service: the entry VMs for "entry", else the targets.
     With a WAIT_MS above 0 this is a watch.  */
  void (*list_vms) (StStore *store, const char *service, uint64_t after_index,
                    uint32_t wait_ms, StListCallback callback, void *data);
  /* Drops pending calls without calling their callbacks.  */
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
  uint32_t connections_max; /* for calls except watches; default 8 */
} StOptions;

/* Returns a store that uses the HTTP API of Consul.  */
StStore *st_consul_new (const StOptions *options);

void st_get (StStore *store, const char *key, StCallback callback, void *data);
void st_watch (StStore *store, const char *key, uint64_t after_index,
               uint32_t wait_ms, StCallback callback, void *data);
void st_cas (StStore *store, const char *key, uint64_t expected_index,
             const char *value, gsize length_bytes, StCallback callback,
             void *data);
void st_delete_prefix (StStore *store, const char *prefix, StCallback callback,
                       void *data);
void st_list_vms (StStore *store, const char *service, uint64_t after_index,
                  uint32_t wait_ms, StListCallback callback, void *data);
void st_free (StStore *store);

#endif
