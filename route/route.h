/* route.h - the operators' configuration as the request path uses it

   SYNOPSIS
     g_autoptr (RtConfig) config = rt_config_new (7);
     rt_add_service (config, &service);
     rt_add_route (config, &route);
     if (rt_check (config, &error))
       found = rt_match (config, "shop.example", "/boards/12");

   DESCRIPTION
     A configuration is built once, checked, and read-only from then on.  It
     is shared by reference, so that a request keeps the version under which
     it was admitted.  Keys are held as SHA-256 digests.

   ERRORS
     RT_ERROR_SERVICE   a route names a service that does not exist
     RT_ERROR_KEY       two customers hold the same key
     RT_ERROR_ROUTE     a route has no service, or a prefix without slashes
     RT_ERROR_TIME      a timeout is zero  */

#ifndef RT_ROUTE_H
#define RT_ROUTE_H

#include <glib.h>
#include <stdint.h>

#define RT_ERROR (rt_error_quark ())

typedef enum
{
  RT_ERROR_SERVICE,
  RT_ERROR_KEY,
  RT_ERROR_ROUTE,
  RT_ERROR_TIME,
} RtError;

typedef struct
{
  const char *service;
  uint32_t weight;
} RtPart;

/* Strings and arrays are copied when a route is added.  */
typedef struct
{
  const char *name;
  const char *host;
  const char *prefix;       /* begins and ends with a slash */
  gboolean idempotent;      /* may run more than once */
  gboolean open;            /* needs no key */
  gboolean sticky;          /* targets answer faster for objects they know */
  uint32_t timeout_ms;      /* longest time until the final answer */
  uint32_t latency_ms;      /* answers within it are in time */
  uint32_t attempts_max;    /* targets that one request may be sent to */
  uint32_t priority;        /* 0 is the most urgent */
  const char *const *homes; /* regions; NULL: all */
  const RtPart *parts;
  uint32_t part_count;
} RtRoute;

typedef struct
{
  const char *name;
  uint32_t connections_max; /* of one target, from all callers */
  uint32_t cold_ms;         /* after a start */
  double cold_per_s;        /* requests that a cold target can bear */
} RtService;

typedef struct
{
  const char *name;
  double rate_per_s; /* 0: unlimited */
  double burst_count;
  gboolean has_priority;
  uint32_t priority; /* in place of the route's */
  const char *const *homes;
} RtCustomer;

typedef struct
{
  uint32_t head_max_bytes;
  uint64_t body_max_bytes;
  uint32_t head_timeout_ms;
  uint32_t idle_timeout_ms;
} RtLimits;

typedef struct RtConfig RtConfig;

GQuark rt_error_quark (void);

RtConfig *rt_config_new (uint64_t version);
RtConfig *rt_config_ref (RtConfig *config);
void rt_config_unref (RtConfig *config);

uint64_t rt_version (const RtConfig *config);
void rt_set_limits (RtConfig *config, const RtLimits *limits);
const RtLimits *rt_limits (const RtConfig *config);

void rt_add_service (RtConfig *config, const RtService *service);
void rt_add_route (RtConfig *config, const RtRoute *route);
/* Returns FALSE where another customer has the key.  */
gboolean rt_add_customer (RtConfig *config, const RtCustomer *customer,
                          const char *const *keys);

/* Whether the configuration may be put into force.  */
gboolean rt_check (const RtConfig *config, GError **error);

/* The route of HOST (a port is ignored) with the longest prefix of PATH, or
   NULL.  */
const RtRoute *rt_match (const RtConfig *config, const char *host,
                         const char *path);
const RtService *rt_service (const RtConfig *config, const char *name);
const RtCustomer *rt_customer_of_key (const RtConfig *config, const char *key);
gboolean rt_has_customers (const RtConfig *config);
void rt_each_customer (const RtConfig *config,
                       void (*visit) (const RtCustomer *customer, void *data),
                       void *data);

/* Whether REGION is in HOMES; NULL allows every region.  */
gboolean rt_is_home (const char *const *homes, const char *region);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (RtConfig, rt_config_unref)

#endif
