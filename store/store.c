#include "store/store.h"

void
st_get (StStore *store, const char *key, StDone done, void *data)
{
  store->read_count++;
  store->methods->get (store, key, done, data);
}

void
st_watch (StStore *store, const char *key, uint64_t after, uint32_t wait_ms,
          StDone done, void *data)
{
  store->watch_count++;
  store->methods->watch (store, key, after, wait_ms, done, data);
}

void
st_cas (StStore *store, const char *key, uint64_t expected, const char *value,
        gsize length_bytes, StDone done, void *data)
{
  store->write_count++;
  store->methods->cas (store, key, expected, value, length_bytes, done, data);
}

void
st_remove_prefix (StStore *store, const char *prefix, StDone done, void *data)
{
  store->write_count++;
  store->methods->remove_prefix (store, prefix, done, data);
}

void
st_list (StStore *store, const char *service, uint64_t after, uint32_t wait_ms,
         StListDone done, void *data)
{
  if (wait_ms > 0)
    store->watch_count++;
  else
    store->read_count++;
  store->methods->list (store, service, after, wait_ms, done, data);
}

void
st_free (StStore *store)
{
  if (store != NULL)
    store->methods->free (store);
}
