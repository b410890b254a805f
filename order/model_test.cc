#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "order/order.h"
}

namespace
{

const int64_t second_us = 1000000;
const int64_t midnight_ms = 20000 * OR_DAY_MS;
const int daemon_count = 4;

struct Value
{
  uint64_t index;
  std::string text;
};

/* One received request and what became of it.  */
struct Exchange
{
  OrRequest *request = nullptr;
  int daemon = 0;
  bool same_request = true;
  bool was_sent = false;
  bool daemon_crashed = false;
  bool ended = false; /* or_end has ended its send */
  bool cancelled = false;
  std::string result; /* "response", "replay" or an error; empty before */
  std::string outcome;
  int64_t next_poll_us = -1; /* of the poll that is scheduled */
  ~Exchange () { or_free (request); }
};

/* Several daemons, a store with CAS, faults and one idempotency key, in
   simulated time.  */
struct Simulation
{
  std::mt19937 random;
  bool faults;
  bool long_pauses; /* long pauses and deadlines, starting before midnight */
  int64_t now_us = 0;
  int64_t start_ms;
  std::multimap<int64_t, std::function<void ()> > events;
  std::map<std::string, Value> store;
  uint64_t next_store_index = 1;
  int64_t down_from_us = -1, down_to_us = -1;
  int64_t clock_offset_ms[daemon_count];
  int64_t paused_until_us[daemon_count] = {};
  std::vector<std::unique_ptr<Exchange> > exchanges;
  int send_count = 0;
  std::string first_response;
  std::string failure;

  Simulation (unsigned seed)
      : random (seed), faults (seed % 4 != 0), long_pauses (seed % 8 == 7)
  {
    start_ms = midnight_ms
               + (long_pauses ? random_between (-240000, -120000)
                              : random_between (-330000, 240000));
    for (int64_t &offset : clock_offset_ms)
      offset = random_between (0, 30000);
  }

  int64_t
  random_between (int64_t from, int64_t to)
  {
    return std::uniform_int_distribution<int64_t> (from, to) (random);
  }
  bool
  fault_chance (int permille)
  {
    return faults && random_between (0, 999) < permille;
  }
  void
  schedule (int64_t when_us, std::function<void ()> run)
  {
    events.emplace (when_us, std::move (run));
  }
  int64_t
  wall_ms (int daemon) const
  {
    return start_ms + now_us / 1000 + clock_offset_ms[daemon];
  }
  void
  fail (const std::string &what)
  {
    if (failure.empty ())
      failure = what;
  }
  int64_t
  latency_us ()
  {
    return fault_chance (50) ? random_between (0, 2 * second_us)
                             : random_between (500, 5000);
  }
  bool
  is_down () const
  {
    return now_us >= down_from_us && now_us < down_to_us;
  }

  void
  deliver_store_result (Exchange *x, OrStoreOutcome outcome, uint64_t index,
                        std::string text)
  {
    if (x->daemon_crashed)
      return;
    if (now_us < paused_until_us[x->daemon])
      {
        schedule (paused_until_us[x->daemon], [=, this] {
          deliver_store_result (x, outcome, index, text);
        });
        return;
      }
    or_store_done (x->request, outcome, index, text.data (), text.size (),
                   now_us);
    poll_request (x);
  }

  void
  store_read (Exchange *x, std::string key)
  {
    /* Pauses the daemon between choosing the days and creating the record.  */
    if (fault_chance (long_pauses ? 300 : 30))
      paused_until_us[x->daemon]
          = now_us + random_between (0, 600 * second_us);
    schedule (now_us + latency_us (), [=, this] {
      bool down = is_down () || fault_chance (40);
      auto found = store.find (key);
      bool exists = !down && found != store.end ();
      OrStoreOutcome outcome = down     ? OR_STORE_DOWN
                               : exists ? OR_STORE_OK
                                        : OR_STORE_ABSENT;
      Value value = exists ? found->second : Value{};
      schedule (now_us + latency_us (), [=, this] {
        deliver_store_result (x, outcome, value.index, value.text);
      });
    });
  }

  OrStoreOutcome
  apply_cas (const std::string &key, uint64_t expected_index,
             const std::string &text)
  {
    auto found = store.find (key);
    uint64_t current = found != store.end () ? found->second.index : 0;
    if (current != expected_index)
      return OR_STORE_CONFLICT;
    store[key] = { next_store_index++, text };
    return OR_STORE_OK;
  }

  void
  store_cas (Exchange *x, std::string key, uint64_t expected_index,
             std::string text)
  {
    if (is_down () && fault_chance (500))
      {
        schedule (now_us + 1000, [=, this] {
          deliver_store_result (x, OR_STORE_DOWN, 0, "");
        });
        return;
      }
    if (is_down () || fault_chance (40))
      {
        /* The reply is lost; the write takes effect never (0), now (1) or
           late (2).  */
        int effect = (int)random_between (0, 2);
        if (effect > 0)
          schedule (
              now_us + (effect == 1 ? 0 : random_between (0, 60 * second_us)),
              [=, this] { apply_cas (key, expected_index, text); });
        schedule (now_us + random_between (0, 2 * second_us), [=, this] {
          deliver_store_result (x, OR_STORE_UNKNOWN, 0, "");
        });
        return;
      }
    schedule (now_us + latency_us (), [=, this] {
      OrStoreOutcome outcome = apply_cas (key, expected_index, text);
      uint64_t index = next_store_index - 1;
      schedule (now_us + latency_us (),
                [=, this] { deliver_store_result (x, outcome, index, ""); });
    });
  }

  void
  on_sent (Exchange *x, OrSendResultKind kind, std::string body)
  {
    if (x->daemon_crashed)
      return;
    OrSendResult result = {};
    result.kind = kind;
    result.status = kind == OR_SEND_UNKNOWN ? 504 : 201;
    result.body = (const uint8_t *)body.data ();
    result.body_bytes = body.size ();
    or_send_done (x->request, &result, now_us);
    poll_request (x);
  }

  void
  send (Exchange *x, int64_t send_by_us)
  {
    if (x->daemon_crashed)
      return;
    if (now_us < paused_until_us[x->daemon])
      {
        schedule (paused_until_us[x->daemon],
                  [=, this] { send (x, send_by_us); });
        return;
      }
    if (x->cancelled || x->ended || now_us > send_by_us || fault_chance (100))
      {
        on_sent (x, OR_SEND_NOT_SENT, "");
        return;
      }
    x->was_sent = true;
    send_count++;
    if (send_count > 1)
      fail ("sent twice");
    if (x->outcome == "not_run")
      fail ("sent after not_run");
    first_response = "response of daemon " + std::to_string (x->daemon);
    bool lost = fault_chance (200);
    schedule (now_us + random_between (1000, second_us), [=, this] {
      on_sent (x, lost ? OR_SEND_UNKNOWN : OR_SEND_COMPLETE, first_response);
    });
  }

  void
  record_result (Exchange *x, const OrAction &action)
  {
    if (!x->result.empty ())
      fail ("got a second result");
    if (action.kind == OR_ACTION_REFUSE)
      {
        x->result = action.error;
        x->outcome = action.outcome;
        if (x->outcome == "not_run" && x->was_sent)
          fail ("not_run after it was sent");
        /* With key_reused, not_run refers to the request that reuses the key.
         */
        if (x->outcome == "not_run" && x->result != "key_reused"
            && send_count > 0)
          fail ("not_run after another request with the key was sent");
        return;
      }
    x->result = action.kind == OR_ACTION_RESPOND ? "response" : "replay";
    if (std::string ((const char *)action.body, action.body_bytes)
            != first_response
        || action.status != 201)
      fail (x->result + " differs from the first response");
    if ((action.kind == OR_ACTION_REPLAY)
        != (ht_headers_get (action.headers, "X-Replayed") != NULL))
      fail ("X-Replayed is missing or unexpected");
  }

  void
  carry_out (Exchange *x, const OrAction &action)
  {
    int64_t send_by_us = action.send_by_us;
    switch (action.kind)
      {
      case OR_ACTION_READ:
        store_read (x, action.key);
        break;
      case OR_ACTION_CAS:
        store_cas (x, action.key, action.expected_index,
                   std::string (action.value, action.value_bytes));
        break;
      case OR_ACTION_SEND:
        schedule (now_us
                      + (fault_chance (50)
                             ? random_between (0, 40 * second_us)
                             : random_between (0, 2 * second_us)),
                  [=, this] { send (x, send_by_us); });
        break;
      default:
        record_result (x, action);
      }
  }

  void
  poll_request (Exchange *x)
  {
    OrAction action;
    if (x->daemon_crashed)
      return;
    if (now_us < paused_until_us[x->daemon])
      {
        schedule (paused_until_us[x->daemon], [=, this] { poll_request (x); });
        return;
      }
    while (or_poll (x->request, now_us, wall_ms (x->daemon), &action))
      carry_out (x, action);
    int64_t next_poll_us = or_next_poll_us (x->request);
    if (next_poll_us == INT64_MAX || next_poll_us == x->next_poll_us)
      return;
    x->next_poll_us = MAX (next_poll_us, now_us + 1);
    schedule (x->next_poll_us, [=, this] {
      x->next_poll_us = -1;
      poll_request (x);
    });
  }

  void
  receive_request ()
  {
    Exchange *x = exchanges.emplace_back (new Exchange).get ();
    std::string op = "op" + std::to_string (exchanges.size ());
    OrOptions options = {};
    x->daemon = (int)random_between (0, daemon_count - 1);
    x->same_request = random_between (0, 9) > 0;
    options.customer = "c1";
    options.idempotency_key = "key";
    options.method = "POST";
    options.request_target = x->same_request ? "/a" : "/b";
    options.op_id = op.c_str ();
    options.vm = "vm";
    options.deadline_us
        = now_us
          + (fault_chance (long_pauses ? 900 : 300) ? 600 * second_us
                                                    : 10 * second_us);
    x->request = or_new (&options, now_us, wall_ms (x->daemon));
    if (fault_chance (50))
      schedule (now_us + random_between (0, 4 * second_us), [=, this] {
        x->cancelled = true;
        if (!x->daemon_crashed)
          or_cancel (x->request, now_us);
        poll_request (x);
      });
    if (fault_chance (100))
      schedule (now_us + random_between (0, 4 * second_us), [=, this] {
        if (!x->daemon_crashed)
          x->ended = or_end (x->request, now_us);
        poll_request (x);
      });
    poll_request (x);
  }

  /* Pauses a daemon, or restarts it: its requests in progress are lost.  */
  void
  inject_daemon_fault ()
  {
    int daemon = (int)random_between (0, daemon_count - 1);
    if (random_between (0, 1) == 0)
      {
        paused_until_us[daemon] = now_us + random_between (0, 300 * second_us);
        return;
      }
    for (auto &x : exchanges)
      if (x->daemon == daemon)
        x->daemon_crashed = true;
  }

  void
  expire_records (int daemon)
  {
    char *prefix = or_expired_prefix (wall_ms (daemon));
    if (prefix != NULL)
      store.erase (store.lower_bound (prefix),
                   store.lower_bound (std::string (prefix) + "~"));
    g_free (prefix);
  }

  void
  schedule_events ()
  {
    int64_t when_us = 0;
    for (int i = (int)random_between (2, 8); i > 0; i--)
      {
        schedule (when_us, [this] { receive_request (); });
        when_us += random_between (0, 1) ? random_between (0, 3 * second_us)
                                         : random_between (0, 400 * second_us);
      }
    /* The request is retried just within 24 hours, after a daily deletion of
       records.  */
    schedule (86400 * second_us - 90 * second_us, [this] {
      expire_records ((int)random_between (0, daemon_count - 1));
      receive_request ();
    });
    if (!faults)
      return;
    for (int i = (int)random_between (0, 12); i > 0; i--)
      schedule (random_between (0, when_us),
                [this] { inject_daemon_fault (); });
    down_from_us = random_between (0, when_us);
    down_to_us = down_from_us + random_between (0, 60 * second_us);
  }

  void
  run ()
  {
    schedule_events ();
    while (!events.empty () && failure.empty ())
      {
        auto first_event = events.begin ();
        now_us = first_event->first;
        auto run_event = std::move (first_event->second);
        events.erase (first_event);
        run_event ();
      }
    for (auto &x : exchanges)
      if (!x->daemon_crashed && !or_finished (x->request))
        fail ("a request never finished");
    if (faults)
      return;
    bool first_request = exchanges[0]->same_request;
    for (auto &x : exchanges)
      if (x->result == "response" || x->result == "replay")
        first_request = x->same_request;
    for (auto &x : exchanges)
      {
        bool as_expected
            = x->same_request == first_request
                  ? x->result == "response" || x->result == "replay"
                  : x->result == "key_reused";
        if (!as_expected)
          fail ("without faults a request ended with " + x->result);
      }
    if (send_count != 1)
      fail ("without faults the request was not sent exactly once");
  }
};

/* Guards against a request that runs twice, a refusal with not_run although it
   ran, and a replay that differs from the first response, also when daemons
   end their requests.  ORDER_SEED=n runs only seed n.  */
TEST (OrderModel, RunsAtMostOnce)
{
  const char *only = getenv ("ORDER_SEED");
  unsigned first = only != NULL ? (unsigned)atoi (only) : 1;
  unsigned last = only != NULL ? first : 6000;

  for (unsigned seed = first; seed <= last; seed++)
    {
      Simulation simulation (seed);
      simulation.run ();
      ASSERT_EQ ("", simulation.failure) << "ORDER_SEED=" << seed;
    }
}

}
