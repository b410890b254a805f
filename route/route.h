/* route.h - configuration for the request path: routes, services, customers

   SYNOPSIS
     g_autoptr (RtConfig) config = rt_config_new (7);
     rt_add_service (config, &service);
     rt_add_route (config, &route);
     if (rt_validate (config, &error))
       found = rt_match (config, "shop.example", "/boards/12");

   DESCRIPTION
     A configuration is built, validated with rt_validate, and read-only from
     then on.  It is reference counted, so that a request keeps the version
     with which it was admitted.  Keys are stored as SHA-256 digests.

   ERRORS
     RT_ERROR_UNKNOWN_SERVICE  a route names a service that does not exist
     RT_ERROR_DUPLICATE_KEY    two customers have the same key
     RT_ERROR_INVALID_ROUTE    a route has no service or allows no attempt, or
                               its prefix does not begin and end with a slash
     RT_ERROR_NO_TIMEOUT       the timeout of a route is zero
     RT_ERROR_INVALID_LIMIT    a limit other than that of bodies is zero, so
                               that no request could be sent  */

#ifndef RT_ROUTE_H
#define RT_ROUTE_H

#include <glib.h>
#include <stdint.h>

#define RT_ERROR (rt_error_quark ())

typedef enum
{
  RT_ERROR_UNKNOWN_SERVICE,
  RT_ERROR_DUPLICATE_KEY,
  RT_ERROR_INVALID_ROUTE,
  RT_ERROR_NO_TIMEOUT,
  RT_ERROR_INVALID_LIMIT,
} RtError;

/* One of the services among which a route's requests are split by weight.  */
typedef struct
{
  const char *service;
  uint32_t weight; /* relative to the other parts */
} RtSplitPart;

/* Strings and arrays are copied when a route is added.  */
typedef struct
{
  const char *name;
  const char *host;
  const char *prefix;  /* begins and ends with a slash */
  gboolean idempotent; /* may run more than once */
  gboolean has_large_responses;
  gboolean open;              /* needs no key */
  gboolean sticky;            /* requests name objects that targets cache */
  uint32_t timeout_ms;        /* limit from arrival to final response */
  uint32_t latency_target_ms; /* responses within it are on time */
  uint32_t attempts_max;      /* of one request, the first included */
  uint32_t priority;          /* 0 is the most urgent */
  const char *const *home_regions; /* NULL: all regions */
  const RtSplitPart *parts;
  uint32_t part_count;
} RtRoute;

typedef struct
{
  const char *name;
  uint32_t connections_max; /* of one target, from all daemons */
  uint32_t cold_ms;         /* how long a target is cold after its start */
  double cold_per_s;        /* rate that a cold target can handle */
} RtService;

typedef struct
{
  const char *name;
  double rate_per_s; /* 0: unlimited */
  double burst_count;
  gboolean has_priority;
  uint32_t priority;               /* overrides the priority of the route */
  const char *const *home_regions; /* NULL: all regions */
} RtCustomer;

/* Limits of the requests of callers.  A head is the request line and the
   headers.  */
typedef struct
{
  uint32_t head_max_bytes;
  uint64_t body_max_bytes; /* 0: no bodies */
  uint32_t head_timeout_ms;
  uint32_t idle_timeout_ms; /* between the requests of a connection */
} RtLimits;

typedef struct RtConfig RtConfig;

GQuark rt_error_quark (void);

RtConfig *rt_config_new (uint64_t version);
RtConfig *rt_config_ref (RtConfig *config);
void rt_config_unref (RtConfig *config);

uint64_t rt_config_version (const RtConfig *config);
/* Hash of the text from which the configuration was read: the same version may
   have been given to two of them.  0 unless set.  */
void rt_set_text_hash (RtConfig *config, uint64_t text_hash);
uint64_t rt_text_hash (const RtConfig *config);
void rt_set_limits (RtConfig *config, const RtLimits *limits);
const RtLimits *rt_limits (const RtConfig *config);

void rt_add_service (RtConfig *config, const RtService *service);
void rt_add_route (RtConfig *config, const RtRoute *route);
/* Requires the key of a customer on all routes that are not open, also if no
   customer is added.  A configuration without a table of customers requires
   none, one with an empty table admits no key.  */
void rt_require_keys (RtConfig *config);
/* Implies rt_require_keys.  Ignores keys that are empty.  Returns FALSE if
   another customer has one of KEYS, after which rt_validate fails too.  */
gboolean rt_add_customer (RtConfig *config, const RtCustomer *customer,
                          const char *const *keys);

/* Whether the configuration may be applied; sets ERROR to the first error.  */
gboolean rt_validate (const RtConfig *config, GError **error);

/* Returns the route of HOST, with or without a port, that has the longest
   prefix of PATH, or NULL.  */
const RtRoute *rt_match (const RtConfig *config, const char *host,
                         const char *path);
/* Whether HOST, with or without a port, has a route.  */
gboolean rt_has_host (const RtConfig *config, const char *host);
const RtService *rt_service (const RtConfig *config, const char *name);
/* The smallest latency target among the routes of SERVICE, also those that
   send it only a part of their requests, that are more urgent than PRIORITY;
   0: there is none.  */
uint32_t rt_urgent_latency_target_ms (const RtConfig *config,
                                      const char *service, uint32_t priority);
const RtCustomer *rt_find_customer (const RtConfig *config, const char *key);
/* DIGEST is the SHA-256 of a key.  */
const RtCustomer *rt_find_customer_by_digest (const RtConfig *config,
                                              const uint8_t *digest);
gboolean rt_requires_keys (const RtConfig *config);
void rt_each_customer (const RtConfig *config,
                       void (*visit) (const RtCustomer *customer, void *data),
                       void *data);

/* Whether REGION is in HOME_REGIONS; NULL allows every region.  */
gboolean rt_is_home_region (const char *const *home_regions,
                            const char *region);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (RtConfig, rt_config_unref)

#endif
