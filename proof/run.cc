#include "proof/run.h"

#include <deque>
#include <fstream>
#include <json-c/json.h>
#include <time.h>
#include <unistd.h>

/* Covers some seconds of a daemon under little load.  */
#define LOG_LINES_PRINTED 60
/* Longer than any graceful stop, which waits for the TTL of lookup responses
   and for open requests.  */
#define STOP_TIMEOUT_MS 30000

/* Unless EXPRESSION, which may set the variable `error`, is true: adds a test
   failure with the message of `error` and returns.  */
#define CHECK_OR_RETURN(expression)                                           \
  do                                                                          \
    if (!(expression))                                                        \
      {                                                                       \
        ADD_FAILURE () << (error == NULL ? "failed without an error message"  \
                                         : error->message);                   \
        g_clear_error (&error);                                               \
        return;                                                               \
      }                                                                       \
  while (0)

namespace
{

int64_t
get_int64 (json_object *row, const char *name)
{
  json_object *value = NULL;
  return json_object_object_get_ex (row, name, &value)
             ? json_object_get_int64 (value)
             : 0;
}

LoadResult
read_load_result (json_object *row)
{
  LoadResult result;
  result.request_count = get_int64 (row, "requests");
  result.answered_count = get_int64 (row, "answered");
  result.refused_count = get_int64 (row, "refused");
  result.rate_refused_count = get_int64 (row, "rate_refused");
  result.unknown_count = get_int64 (row, "unknown");
  result.p99_us = get_int64 (row, "p99_us");
  return result;
}

void
sleep_us (int64_t us)
{
  if (us > 0)
    usleep ((useconds_t)us);
}

}

int64_t
now_us ()
{
  timespec at;
  clock_gettime (CLOCK_MONOTONIC, &at);
  return (int64_t)at.tv_sec * 1000000 + at.tv_nsec / 1000;
}

TestRun::TestRun (const TestRunOptions &options) : options_ (options)
{
  GError *error = NULL;
  SiHarnessOptions harness_options = {};
  SiFixtureOptions fixture_options = {};

  harness_options.build_dir = CW_BIN;
  harness_options.deployment = options_.deployment.c_str ();
  harness_options.policy = options_.policy.c_str ();
  harness_options.admission = options_.admission.c_str ();
  harness_options.proxied = options_.proxied;
  harness_options.work_ms = options_.work_ms;
  harness_options.drain_max_ms = options_.drain_max_ms;
  harness_options.memory_mb = options_.memory_mb;
  harness_options.log = "info";
  harness_ = si_harness_new (&harness_options, &error);
  CHECK_OR_RETURN (harness_ != NULL);
  CHECK_OR_RETURN (si_start_platform (harness_, &error));
  CHECK_OR_RETURN (si_start_targets (harness_, &error));
  CHECK_OR_RETURN (si_start_daemons (harness_, &error));
  fixture_options.rate_per_s = options_.rate_per_s;
  fixture_options.burst = options_.burst;
  config_ = si_fixture_config (harness_, &fixture_options);
  CHECK_OR_RETURN (si_apply_config (harness_, config_, &error));
  CHECK_OR_RETURN (si_wait_ready (harness_, 20000, &error));
}

TestRun::~TestRun ()
{
  for (guint i = 0; testing::Test::HasFailure () && i < si_vms (harness_)->len;
       i++)
    print_log ((SiVm *)g_ptr_array_index (si_vms (harness_), i));
  cf_unref (config_);
  si_harness_free (harness_);
}

/* Prints the end of a daemon's log, to diagnose failures that are rare.  */
void
TestRun::print_log (const SiVm *vm)
{
  std::ifstream log (vm->log_path);
  std::deque<std::string> lines;

  for (std::string line; std::getline (log, line);)
    {
      lines.push_back (line);
      if (lines.size () > LOG_LINES_PRINTED)
        lines.pop_front ();
    }
  printf ("-- end of the log of %s\n", vm->name);
  for (const std::string &line : lines)
    printf ("%s\n", line.c_str ());
}

void
TestRun::stop_vm (const std::string &vm)
{
  GError *error = NULL;
  int status = -1;

  CHECK_OR_RETURN (
      si_stop_vm (harness_, vm.c_str (), STOP_TIMEOUT_MS, &status, &error));
  EXPECT_EQ (0, status) << vm;
  /* Prints the log now, as the next start appends to it.  */
  if (status != 0)
    print_log (si_find_vm (harness_, vm.c_str ()));
}

std::string
TestRun::find_admin_address (const std::string &vm)
{
  return si_find_vm (harness_, vm.c_str ())->admin_address;
}

std::string
TestRun::store_address ()
{
  const char *path = si_find_vm (harness_, "vm1")->settings_path;
  json_object *root = json_object_from_file (path);
  json_object *value = NULL;

  json_object_object_get_ex (root, "store", &value);
  std::string address = value == NULL ? "" : json_object_get_string (value);
  json_object_put (root);
  return address;
}

std::vector<CustomerLoad>
TestRun::customer_loads (double rate_fraction, const std::string &load_options)
{
  std::vector<CustomerLoad> loads;

  for (guint i = 0; i < config_->customers->len; i++)
    {
      auto *customer = (CfCustomer *)g_ptr_array_index (config_->customers, i);
      loads.push_back ({ customer->name,
                         (int)(customer->rate_per_s * rate_fraction),
                         load_options });
    }
  return loads;
}

void
TestRun::start_load (const std::vector<CustomerLoad> &customer_loads,
                     int duration_ms)
{
  GError *error = NULL;
  std::string service = si_fixture_service (harness_, 0);
  std::vector<std::string> arguments
      = { std::string (CW_BIN) + "/standin/load-gen",
          "--duration-ms",
          std::to_string (duration_ms),
          "--read-path",
          "/" + service + "/view/a",
          "--order-path",
          "/" + service + "/orders",
          "--seed",
          "7" };
  std::vector<const char *> argv;

  trace_path_ = std::string (si_temp_dir (harness_)) + "/trace";
  summary_path_ = std::string (si_temp_dir (harness_)) + "/summary";
  arguments.insert (arguments.end (),
                    { "--trace", trace_path_, "--out", summary_path_ });
  for (guint i = 0; i < si_vms (harness_)->len; i++)
    arguments.insert (
        arguments.end (),
        { "--vm", ((SiVm *)g_ptr_array_index (si_vms (harness_), i))
                      ->caller_address });
  for (const CustomerLoad &load : customer_loads)
    arguments.insert (
        arguments.end (),
        { "--customer", "name=" + load.customer + ",key=key-" + load.customer
                            + ",rate=" + std::to_string (load.rate_per_s)
                            + (load.load_options.empty () ? "" : ",")
                            + load.load_options });
  for (const std::string &argument : arguments)
    argv.push_back (argument.c_str ());
  argv.push_back (NULL);
  load_gen_pid_ = si_spawn (harness_, argv.data (), "load-gen.log", &error);
  load_started_us_ = now_us ();
  CHECK_OR_RETURN (load_gen_pid_ > 0);
}

void
TestRun::sleep_until_ms (int ms)
{
  sleep_us (load_started_us_ + (int64_t)ms * 1000 - now_us ());
}

void
TestRun::finish_load ()
{
  int status = -1;
  json_object *rows = NULL;

  ASSERT_TRUE (si_wait_exit (harness_, load_gen_pid_, 150000, &status));
  ASSERT_EQ (0, status);
  json_object *root = json_object_from_file (summary_path_.c_str ());
  ASSERT_NE (nullptr, root);
  total_result_ = read_load_result (root);
  ASSERT_TRUE (json_object_object_get_ex (root, "customers", &rows));
  for (size_t i = 0; i < json_object_array_length (rows); i++)
    {
      json_object *row = json_object_array_get_idx (rows, i);
      json_object *name = NULL;
      json_object_object_get_ex (row, "name", &name);
      customer_results_[json_object_get_string (name)]
          = read_load_result (row);
    }
  printf ("%s\n",
          json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  EXPECT_EQ (0, get_int64 (root, "unfinished"))
      << "requests without an outcome at the end of the run";
  json_object_put (root);
}

SiVerdict
TestRun::verdict ()
{
  GError *error = NULL;
  SiVerdict verdict = {};
  std::vector<SiRateLimit> rates;

  for (guint i = 0; i < config_->customers->len; i++)
    {
      auto *customer = (CfCustomer *)g_ptr_array_index (config_->customers, i);
      rates.push_back (
          { customer->name, customer->rate_per_s, customer->burst });
    }
  EXPECT_TRUE (si_verify (harness_, trace_path_.c_str (), rates.data (),
                          rates.size (), &verdict, &error));
  return verdict;
}

void
TestRun::expect_invariants ()
{
  SiVerdict v = verdict ();

  EXPECT_GT (v.answered_count, 0u);
  EXPECT_EQ (0u, v.wrong_response_count)
      << "truncated responses or responses to other requests";
  EXPECT_EQ (0u, v.wrong_customer_count)
      << "requests that ran for another customer";
  EXPECT_EQ (0u, v.key_seen_count) << "API keys forwarded to targets";
  EXPECT_EQ (0u, v.over_rate_count) << "customers above rate and burst";
  EXPECT_EQ (0u, v.false_not_run_count)
      << "requests refused as not run that ran";
  EXPECT_EQ (0u, v.repeated_order_count) << "orders that ran more than once";
  EXPECT_EQ (0u, v.lost_order_count) << "answered orders that never ran";
  EXPECT_LE (v.running_max, 3u) << "used slots of a target";
  EXPECT_LE (v.connections_max, 330u) << "connections of a target";
}

int64_t
TestRun::wait_for (const std::string &what, int wait_ms,
                   const std::function<bool ()> &condition)
{
  int64_t start_us = now_us ();
  int64_t end_us = start_us + (int64_t)wait_ms * 1000;

  while (!condition ())
    {
      if (now_us () > end_us)
        {
          ADD_FAILURE () << "not within " << wait_ms << " ms: " << what;
          break;
        }
      sleep_us (20000);
    }
  return (now_us () - start_us) / 1000;
}

std::string
TestRun::admin_page (const std::string &vm, const std::string &path)
{
  SiResponse response = {};
  std::string body;

  if (si_http_request ("GET", find_admin_address (vm).c_str (), path.c_str (),
                       NULL, NULL, 2000, &response, NULL)
      && response.status == 200)
    body.assign (response.body, response.length_bytes);
  si_response_clear (&response);
  return body;
}

int
TestRun::get_status (const std::string &vm, const std::string &path,
                     const std::string &key)
{
  SiResponse response = {};
  std::string header = "X-Api-Key: " + key;
  const char *headers[] = { header.c_str (), NULL };
  int status = 0;

  if (si_http_request ("GET", si_find_vm (harness_, vm.c_str ())->http_address,
                       path.c_str (), headers, NULL, 5000, &response, NULL))
    status = response.status;
  last_body_ = response.body == NULL ? "" : response.body;
  si_response_clear (&response);
  return status;
}

void
TestRun::post_control (const char *address, const std::string &path)
{
  GError *error = NULL;
  CHECK_OR_RETURN (si_post_control (address, path.c_str (), &error));
}

void
TestRun::apply_config (const std::function<void (CfConfig *)> &change)
{
  GError *error = NULL;
  change (config_);
  CHECK_OR_RETURN (si_apply_config (harness_, config_, &error));
}
