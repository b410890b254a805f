#include <arpa/inet.h>
#include <memory>
#include <signal.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "proof/run.h"

namespace
{

/* What a caller got; status 0: the connection ended without a response.  */
struct Answer
{
  int status = 0;
  std::string head;
  std::string body;
  int64_t sent_us = 0;
  int64_t ended_us = 0;
};

std::string
describe (const Answer &answer, int64_t signalled_us)
{
  return std::to_string (answer.status) + " " + answer.body + ", sent "
         + std::to_string ((answer.sent_us - signalled_us) / 1000)
         + " ms and ended "
         + std::to_string ((answer.ended_us - signalled_us) / 1000)
         + " ms after SIGTERM";
}

bool
contains (const std::string &text, const std::string &part)
{
  return text.find (part) != std::string::npos;
}

/* A caller's connection that is kept between requests.  */
class Caller
{
public:
  explicit Caller (const std::string &address)
  {
    sockaddr_in peer = {};
    timeval timeout = { 20, 0 };
    size_t colon = address.find (':');

    peer.sin_family = AF_INET;
    peer.sin_port = htons ((uint16_t)std::stoi (address.substr (colon + 1)));
    inet_pton (AF_INET, address.substr (0, colon).c_str (), &peer.sin_addr);
    fd_ = socket (AF_INET, SOCK_STREAM, 0);
    setsockopt (fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    (void)!connect (fd_, (sockaddr *)&peer, sizeof peer);
  }
  Caller (const Caller &) = delete;
  ~Caller () { close (fd_); }
  void
  send_request (const std::string &line, const std::string &headers)
  {
    std::string text
        = line + " HTTP/1.1\r\nHost: a\r\nX-Api-Key: key-c1\r\n" + headers
          + (contains (line, "POST") ? "Content-Length: 0\r\n" : "") + "\r\n";

    sent_us_ = now_us ();
    (void)!::send (fd_, text.data (), text.size (), MSG_NOSIGNAL);
  }

  Answer
  receive ()
  {
    Answer answer;
    std::string text;
    size_t head_bytes = std::string::npos;
    char buffer[4096];

    answer.sent_us = sent_us_;
    for (ssize_t got; (got = recv (fd_, buffer, sizeof buffer, 0)) > 0;)
      {
        text.append (buffer, (size_t)got);
        head_bytes = text.find ("\r\n\r\n");
        if (head_bytes == std::string::npos)
          continue;
        size_t length = text.find ("Content-Length: ");
        if (length < head_bytes
            && text.size ()
                   >= head_bytes + 4 + std::stoul (text.substr (length + 16)))
          {
            answer.status = std::stoi (text.substr (9));
            answer.head = text.substr (0, head_bytes);
            answer.body = text.substr (head_bytes + 4);
            break;
          }
      }
    answer.ended_us = now_us ();
    return answer;
  }

  Answer
  request (const std::string &line, const std::string &headers)
  {
    send_request (line, headers);
    return receive ();
  }

private:
  int fd_;
  int64_t sent_us_ = 0;
};

std::string
address_of (TestRun &run, const char *vm)
{
  return si_find_vm (run.harness (), vm)->http_address;
}

std::string
read_line (TestRun &run)
{
  return std::string ("GET /") + si_fixture_service (run.harness (), 0)
         + "/view/a";
}

std::string
order_line (TestRun &run)
{
  return std::string ("POST /") + si_fixture_service (run.harness (), 0)
         + "/orders";
}

TestRunOptions
with_drain_max_ms (uint32_t drain_max_ms)
{
  TestRunOptions options;
  options.drain_max_ms = drain_max_ms;
  return options;
}

/* Sends SIGTERM to vm1; returns when.  */
int64_t
signal_vm1 (TestRun &run)
{
  si_signal_vm (run.harness (), "vm1", SIGTERM);
  return now_us ();
}

/* Expects that vm1 exits with status 0, at the latest WAIT_MS from now.  */
void
expect_exit (TestRun &run, uint32_t wait_ms)
{
  SiVm *vm = si_find_vm (run.harness (), "vm1");
  int status = -1;

  ASSERT_TRUE (si_wait_exit (run.harness (), vm->pid, wait_ms, &status));
  EXPECT_EQ (0, status);
  vm->pid = 0;
}

}

/* Guards against a daemon that ends with requests still running and closes
   their connections without a response.  */
TEST (Stop, RespondsToRequestsThatRunLongerThanTheDrain)
{
  TestRun run (with_drain_max_ms (10000));
  Caller reader (address_of (run, "vm1"));
  Caller orderer (address_of (run, "vm1"));
  Caller arriving (address_of (run, "vm1"));

  int64_t signalled_us = signal_vm1 (run);
  g_usleep (2000000);
  reader.send_request (read_line (run), "X-Work-Ms: 12000\r\n");
  orderer.send_request (order_line (run),
                        "X-Work-Ms: 12000\r\nIdempotency-Key: stop-1\r\n");
  g_usleep (3500000);
  arriving.send_request (read_line (run), "X-Incomplete: 1");
  for (Caller *caller : { &reader, &orderer })
    {
      Answer answer = caller->receive ();

      EXPECT_EQ (502, answer.status) << describe (answer, signalled_us);
      EXPECT_TRUE (contains (answer.body, "\"outcome\":\"unknown\""))
          << describe (answer, signalled_us);
    }
  Answer answer = arriving.receive ();
  EXPECT_EQ (503, answer.status) << describe (answer, signalled_us);
  expect_exit (run, 2000);
}

/* Guards against a response that has arrived at a stopping daemon and is
   replaced by a refusal when the daemon ends its requests.  */
TEST (Stop, EndForwardsResponsesThatHaveArrived)
{
  TestRun run (with_drain_max_ms (3000));
  Caller reader (address_of (run, "vm1"));
  Caller orderer (address_of (run, "vm1"));
  Caller keyed (address_of (run, "vm1"));
  pid_t pid = si_find_vm (run.harness (), "vm1")->pid;

  reader.send_request (read_line (run), "X-Work-Ms: 1500\r\n");
  orderer.send_request (order_line (run), "X-Work-Ms: 1500\r\n");
  keyed.send_request (order_line (run),
                      "X-Work-Ms: 1500\r\nIdempotency-Key: stop-5\r\n");
  g_usleep (500000);
  int64_t signalled_us = signal_vm1 (run);
  g_usleep (200000);
  kill (pid, SIGSTOP);
  /* Between the end of the requests and that of the drain.  */
  g_usleep (2550000);
  kill (pid, SIGCONT);
  for (Caller *caller : { &reader, &orderer, &keyed })
    {
      Answer answer = caller->receive ();

      EXPECT_EQ (200, answer.status) << describe (answer, signalled_us);
    }
  expect_exit (run, 3000);
}

/* Guards against a stopping daemon that accepts requests which may run longer
   than it does, on new and on kept connections, and against one that refuses
   those that it can finish.  */
TEST (Stop, AcceptsLateOnlyWhatItCanFinish)
{
  TestRun run (with_drain_max_ms (10000));
  std::vector<Answer> answers;
  Caller kept (address_of (run, "vm1"));

  int64_t signalled_us = signal_vm1 (run);
  std::thread kept_caller ([&] {
    while (now_us () < signalled_us + 5300000)
      EXPECT_EQ (
          200,
          kept.request (read_line (run), "X-Deadline-Ms: 1000\r\n").status);
    answers.push_back (kept.request (read_line (run), "X-Work-Ms: 8000\r\n"));
  });
  g_usleep (5300000);
  Caller short_caller (address_of (run, "vm1"));
  Caller order_caller (address_of (run, "vm1"));
  order_caller.send_request (order_line (run),
                             "X-Work-Ms: 8000\r\nIdempotency-Key: stop-2\r\n");
  EXPECT_EQ (200,
             short_caller.request (read_line (run), "X-Deadline-Ms: 2000\r\n")
                 .status);
  answers.push_back (order_caller.receive ());
  kept_caller.join ();
  for (const Answer &answer : answers)
    {
      EXPECT_EQ (503, answer.status) << describe (answer, signalled_us);
      EXPECT_TRUE (contains (answer.body, "\"outcome\":\"not_run\""))
          << describe (answer, signalled_us);
      EXPECT_LT (answer.ended_us - answer.sent_us, 1000000)
          << describe (answer, signalled_us);
    }
  /* The order was refused as not run, so another VM runs it.  */
  Answer again
      = Caller (address_of (run, "vm2"))
            .request (order_line (run), "Idempotency-Key: stop-2\r\n");
  EXPECT_EQ (200, again.status) << again.body;
  expect_exit (run, 8000);
}

/* Guards against callers on kept connections that go on sending and whose
   requests are cut when the daemon ends.  */
TEST (Stop, CallersThatGoOnSendingLoseNoRequest)
{
  TestRun run (with_drain_max_ms (5000));
  std::vector<std::thread> callers;
  std::vector<std::vector<Answer> > answers (4);

  for (std::vector<Answer> &list : answers)
    callers.emplace_back ([&run, &list] {
      Caller caller (address_of (run, "vm1"));
      do
        list.push_back (
            caller.request (read_line (run), "X-Work-Ms: 700\r\n"));
      while (list.back ().status != 0
             && !contains (list.back ().head, "Connection: close"));
    });
  g_usleep (300000);
  int64_t signalled_us = signal_vm1 (run);
  for (std::thread &caller : callers)
    caller.join ();
  for (const std::vector<Answer> &list : answers)
    {
      EXPECT_GT (list.size (), 2u);
      for (const Answer &answer : list)
        EXPECT_NE (0, answer.status) << describe (answer, signalled_us);
    }
  expect_exit (run, 6000);
}

/* Guards against a daemon that stops while the store cannot take the record of
   an order that has run: a repeat would never get its result.  */
TEST (Stop, OrderThatHasRunIsRecordedAfterAnOutage)
{
  TestRun run ({});
  Caller caller (address_of (run, "vm1"));

  caller.send_request (order_line (run),
                       "X-Work-Ms: 1500\r\nIdempotency-Key: stop-3\r\n");
  g_usleep (700000);
  run.post_control (si_platform_control (run.harness ()),
                    "/control/outage?mode=close");
  int64_t signalled_us = signal_vm1 (run);
  EXPECT_EQ (200, caller.receive ().status);
  g_usleep (14000000);
  run.post_control (si_platform_control (run.harness ()),
                    "/control/outage?mode=off");
  expect_exit (run, 15000);
  run.wait_for ("vm2 serves again", 10000, [&] {
    return run.get_status ("vm2", read_line (run).substr (4), "key-c1") == 200;
  });
  Answer again
      = Caller (address_of (run, "vm2"))
            .request (order_line (run), "X-Work-Ms: 1500\r\n"
                                        "Idempotency-Key: stop-3\r\n");
  EXPECT_EQ (200, again.status) << describe (again, signalled_us);
  EXPECT_TRUE (contains (again.head, "X-Replayed: 1"))
      << describe (again, signalled_us);
}

/* Guards against a refusal that says that a request has not run although a
   target has it, when a daemon ends with requests at targets and in its queue,
   and against any of them without a response.  */
TEST (Stop, RefusalsAtTheEndAreTrue)
{
  TestRunOptions options = with_drain_max_ms (3000);
  options.rate_per_s = 1000;
  TestRun run (options);
  std::vector<std::unique_ptr<Caller> > callers;
  size_t queued_count = 0;
  size_t sent_count = 0;

  int64_t signalled_us = signal_vm1 (run);
  g_usleep (400000);
  for (int i = 0; i < 80; i++)
    callers.push_back (std::make_unique<Caller> (address_of (run, "vm1")));
  /* A request waits 2 s for a slot, longer than this daemon runs.  */
  g_usleep (500000);
  for (size_t i = 0; i < callers.size (); i++)
    callers[i]->send_request (order_line (run),
                              "X-Work-Ms: 12000\r\nX-Request-Tag: stop-tag-"
                                  + std::to_string (i) + "\r\n");
  std::vector<Answer> answers;
  for (const std::unique_ptr<Caller> &caller : callers)
    answers.push_back (caller->receive ());
  expect_exit (run, 3000);
  g_autofree char *records = si_get_text (si_target_control (run.harness ()),
                                          "/control/requests", NULL);
  ASSERT_NE (nullptr, records);
  for (size_t i = 0; i < answers.size (); i++)
    {
      bool ran = contains (records, "\"stop-tag-" + std::to_string (i) + "\"");
      bool not_run = contains (answers[i].body, "\"outcome\":\"not_run\"");

      EXPECT_NE (0, answers[i].status) << describe (answers[i], signalled_us);
      EXPECT_NE (ran, not_run) << describe (answers[i], signalled_us);
      queued_count += contains (answers[i].body, "daemon_stopping");
      sent_count += contains (answers[i].body, "daemon_ended");
    }
  EXPECT_GT (queued_count, 0u);
  EXPECT_GT (sent_count, 0u);
}

/* Guards against a second signal that ends a stopping daemon at once, also
   after its loop has ended.  */
TEST (Stop, EndsWithStatusZeroUnderRepeatedSignals)
{
  TestRun run (with_drain_max_ms (3000));
  SiVm *vm = si_find_vm (run.harness (), "vm1");
  int64_t end_us = now_us () + 10000000;
  int status = -1;

  do
    si_signal_vm (run.harness (), "vm1", SIGTERM);
  while (!si_wait_exit (run.harness (), vm->pid, 1, &status)
         && now_us () < end_us);
  EXPECT_EQ (0, status);
  vm->pid = 0;
}

/* Guards against an order without a response when a daemon ends while the
   store delays its record, and against sending it after the refusal.  */
TEST (Stop, RespondsToAnOrderThatWaitsForTheStore)
{
  TestRun run (with_drain_max_ms (3000));

  run.post_control (si_platform_control (run.harness ()),
                    "/control/outage?mode=hang");
  int64_t signalled_us = signal_vm1 (run);
  g_usleep (500000);
  Caller caller (address_of (run, "vm1"));
  /* A call of the store ends after 2 s.  */
  g_usleep (650000);
  Answer answer
      = caller.request (order_line (run), "X-Request-Tag: stop-tag\r\n"
                                          "Idempotency-Key: stop-4\r\n");
  EXPECT_EQ (503, answer.status) << describe (answer, signalled_us);
  EXPECT_TRUE (contains (answer.body, "\"outcome\":\"unknown\""))
      << describe (answer, signalled_us);
  expect_exit (run, 3000);
  g_autofree char *records = si_get_text (si_target_control (run.harness ()),
                                          "/control/requests", NULL);
  ASSERT_NE (nullptr, records);
  EXPECT_FALSE (contains (records, "stop-tag"));
}
