/* kv.h - keys and lists of the stand-in platform

   DESCRIPTION
     One index counts every change, as in Consul.  A deleted key keeps the
     index of its deletion, so that a watch notices it.  */

#ifndef SI_KV_H
#define SI_KV_H

#include <glib.h>
#include <stdint.h>

typedef struct
{
  GBytes *value; /* NULL: deleted */
  uint64_t index;
  uint64_t create_index;
} SiEntry;

typedef struct
{
  char *id;
  char *zone;
  char *address;
  char *state;
  uint16_t port;
} SiListed;

typedef struct SiKv SiKv;

SiKv *si_kv_new (void);
void si_kv_free (SiKv *kv);
SiKv *si_kv_copy (const SiKv *kv);

/* NULL where the key never existed; an entry without value where it was
   deleted.  */
const SiEntry *si_kv_get (const SiKv *kv, const char *key);
gboolean si_kv_cas (SiKv *kv, const char *key, uint64_t expected,
                    GBytes *value);
void si_kv_put (SiKv *kv, const char *key, GBytes *value);
void si_kv_remove (SiKv *kv, const char *prefix, gboolean recurse);
/* Keys that start with PREFIX as the API shows them; *COUNT may be NULL.  */
char *si_kv_format (const SiKv *kv, const char *prefix, gboolean recurse,
                    uint32_t *count);

/* STATE "gone" removes.  */
void si_kv_list_set (SiKv *kv, const char *service, const SiListed *listed);
char *si_kv_list_format (const SiKv *kv, const char *service, uint64_t *index);
uint64_t si_kv_list_index (const SiKv *kv, const char *service);

#endif
