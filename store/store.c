#include "store/store.h"

void
st_get (StStore *store, const char *key, StCallback callback, void *data)
{
  store->read_count++;
  store->methods->get (store, key, callback, data);
}

void
st_watch (StStore *store, const char *key, uint64_t after_index,
          uint32_t wait_ms, StCallback callback, void *data)
{
  store->watch_count++;
  store->methods->watch (store, key, after_index, wait_ms, callback, data);
}

void
st_cas (StStore *store, const char *key, uint64_t expected_index,
        const char *value, gsize length_bytes, StCallback callback, void *data)
{
  store->write_count++;
  store->methods->cas (store, key, expected_index, value, length_bytes,
                       callback, data);
}

void
st_delete_prefix (StStore *store, const char *prefix, StCallback callback,
                  void *data)
{
  store->write_count++;
  store->methods->delete_prefix (store, prefix, callback, data);
}

void
st_list_vms (StStore *store, const char *service, uint64_t after_index,
             uint32_t wait_ms, StListCallback callback, void *data)
{
  if (wait_ms > 0)
    store->watch_count++;
  else
    store->read_count++;
  store->methods->list_vms (store, service, after_index, wait_ms, callback,
                            data);
}

void
st_free (StStore *store)
{
  if (store != NULL)
    store->methods->free (store);
}
