/* kv.h - key-value store and service catalog of the stand-in platform

   DESCRIPTION
     Holds keys with their values and, for each service, the list of its
     targets; the list of the service "entry" holds the entry VMs.  One index
     counts every change of keys and lists, as in Consul.  A deleted key stays
     as an entry without value that holds the index of its deletion, so that a
     watch on it sees the deletion.  */

#ifndef SI_KV_H
#define SI_KV_H

#include <glib.h>
#include <stdint.h>

typedef struct
{
  GBytes *value; /* NULL: deleted */
  uint64_t modify_index;
  uint64_t create_index;
} SiKvEntry;

typedef struct
{
  char *id; /* name of the VM or target */
  char *zone;
  char *address; /* IP address */
  char *state;   /* "live", "leaving" or, to remove it, "gone" */
  uint16_t port;
} SiListEntry;

typedef struct SiKv SiKv;

SiKv *si_kv_new (void);
void si_kv_free (SiKv *kv);
SiKv *si_kv_copy (const SiKv *kv);

/* NULL if the key never existed; an entry without value if it was deleted.
   Valid until the key changes.  */
const SiKvEntry *si_kv_get (const SiKv *kv, const char *key);
/* Stores VALUE if the key's index is EXPECTED, where 0 means that the key does
   not exist.  FALSE on a conflict.  */
gboolean si_kv_cas (SiKv *kv, const char *key, uint64_t expected,
                    GBytes *value);
void si_kv_put (SiKv *kv, const char *key, GBytes *value);
/* Deletes the key PREFIX, or with RECURSE all keys that start with it.  */
void si_kv_remove (SiKv *kv, const char *prefix, gboolean recurse);
/* The key PREFIX, or with RECURSE all keys that start with it, as the JSON of
   Consul's API; *COUNT is set to the number of keys.  COUNT may be NULL.  Free
   with g_free.  */
char *si_kv_to_json (const SiKv *kv, const char *prefix, gboolean recurse,
                     uint32_t *count);

/* Adds or replaces the entry with this id in the list of SERVICE; the state
   "gone" removes it.  */
void si_kv_list_set (SiKv *kv, const char *service, const SiListEntry *entry);
/* The list as the JSON of Consul's catalog API; *INDEX is set as by
   si_kv_list_index.  Free with g_free.  */
char *si_kv_list_to_json (const SiKv *kv, const char *service,
                          uint64_t *index);
/* Index of the last change of the list; 1 if it never changed.  */
uint64_t si_kv_list_index (const SiKv *kv, const char *service);

#endif
