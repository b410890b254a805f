#include "admit/admit.h"

#include <math.h>

/* Service time where none is known: a request for a cached object takes
   less.  */
#define DEFAULT_SERVICE_US ((int64_t)300000)

typedef struct
{
  char *name;
  GList link; /* in AcSet.order */
  int64_t next_places_us[AC_PRIORITIES];
  double response_count; /* decayed to updated_us */
  int64_t updated_us;
} Service;

struct AcSet
{
  GHashTable *services; /* name to Service */
  GQueue order;         /* Service, least recently seen first */
};

static void
free_service (gpointer data)
{
  Service *service = data;

  g_free (service->name);
  g_free (service);
}

AcSet *
ac_new (void)
{
  AcSet *set = g_new0 (AcSet, 1);

  set->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
  return set;
}

void
ac_free (AcSet *set)
{
  if (set == NULL)
    return;
  g_hash_table_unref (set->services);
  g_free (set);
}

static Service *
add_service (AcSet *set, const char *name, int64_t now_us)
{
  Service *service = g_new0 (Service, 1);

  if (set->order.length >= AC_SERVICES_MAX)
    {
      Service *oldest = g_queue_pop_head_link (&set->order)->data;
      g_hash_table_remove (set->services, oldest->name);
    }
  service->name = g_strdup (name);
  service->link.data = service;
  service->updated_us = now_us;
  g_hash_table_insert (set->services, service->name, service);
  g_queue_push_tail_link (&set->order, &service->link);
  return service;
}

static void
decay_count (Service *service, int64_t now_us)
{
  if (now_us <= service->updated_us)
    return;
  service->response_count *= exp2 (-(double)(now_us - service->updated_us)
                                   / (double)AC_HALF_LIFE_US);
  service->updated_us = now_us;
}

/* Creates the service if it is new.  Its count is that at NOW_US.  */
static Service *
get_service (AcSet *set, const char *name, int64_t now_us)
{
  Service *service = g_hash_table_lookup (set->services, name);

  if (service == NULL)
    return add_service (set, name, now_us);
  g_queue_unlink (&set->order, &service->link);
  g_queue_push_tail_link (&set->order, &service->link);
  decay_count (service, now_us);
  return service;
}

void
ac_note_response (AcSet *set, const char *service, int64_t now_us)
{
  get_service (set, service, now_us)->response_count++;
}

/* Time between two places: that between two responses, but no longer than a
   service time, in which a slot becomes free.  */
static int64_t
compute_interval (const Service *service, int64_t service_us)
{
  double mean_life_us = (double)AC_HALF_LIFE_US / G_LN2;

  if (service->response_count * (double)service_us <= mean_life_us)
    return service_us;
  return MAX (1, (int64_t)(mean_life_us / service->response_count));
}

static void
take_place (Service *service, uint32_t priority, int64_t place_us,
            int64_t interval_us)
{
  for (uint32_t i = priority; i < AC_PRIORITIES; i++)
    service->next_places_us[i]
        = MAX (service->next_places_us[i], place_us) + interval_us;
}

/* Takes a place in SERVICE, whose count is that at NOW_US.  */
static int64_t
compute_retry_after (Service *service, const AcRequest *request,
                     int64_t now_us)
{
  int64_t service_us
      = request->service_us > 0 ? request->service_us : DEFAULT_SERVICE_US;
  int64_t max_us
      = MAX (AC_RETRY_AFTER_MIN_US, request->left_us / AC_RETRY_AFTER_DIVISOR);
  int64_t interval_us = compute_interval (service, service_us);
  uint32_t priority = MIN (request->priority, AC_PRIORITIES - 1);
  int64_t place_us = MAX (service->next_places_us[priority],
                          now_us + MAX (AC_RETRY_AFTER_MIN_US, service_us));
  /* Less than the interval, so that the order is kept.  */
  int64_t spread_us = (int64_t)(request->hash % (uint64_t)interval_us) / 2;

  if (place_us + spread_us <= now_us + max_us)
    {
      take_place (service, priority, place_us, interval_us);
      return place_us + spread_us - now_us;
    }
  spread_us = (int64_t)(request->hash % (uint64_t)(max_us / 2));
  return MAX (AC_RETRY_AFTER_MIN_US, max_us - spread_us);
}

int64_t
ac_retry_after (AcSet *set, const AcRequest *request, int64_t now_us)
{
  return compute_retry_after (get_service (set, request->service, now_us),
                              request, now_us);
}

int64_t
ac_peek_retry_after (const AcSet *set, const AcRequest *request,
                     int64_t now_us)
{
  const Service *service
      = g_hash_table_lookup (set->services, request->service);
  Service copy = { .updated_us = now_us };

  if (service != NULL)
    copy = *service;
  decay_count (&copy, now_us);
  return compute_retry_after (&copy, request, now_us);
}

uint32_t
ac_service_count (const AcSet *set)
{
  return g_hash_table_size (set->services);
}
