// Clients and servers outside the limits of the platform's pages, for
// tests/hostile_clients_test.sh.
//
//   citronsill_hostile platform [PART|elsewhere]           store and policy service of one node;
//                                                          prints their addresses
//   citronsill_hostile endless PART                        a server whose answers do not end
//   citronsill_hostile requests --count N                  a server and N ordinary requests, whose
//                                                          instructions valgrind counts
//   citronsill_hostile CASE --pid PID --target PORT ...    a crowd of clients
//
// A case connects its crowd, and while the crowd stays connected it checks that the process lives,
// that its resident memory, what the kernel has received for it and it has not read, what it has
// sent and its peers have not taken, and its descriptors stayed within the bounds, and that an
// ordinary request is answered. It checks no times. Cases named "stopped-..." stop the process by a
// signal meanwhile, as on a machine that gives it no processor time: then it reads nothing, and
// what the kernel takes is all that counts.
#include <fmt/format.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <thread>

#include "../soak/platform.h"
#include "cell/commit.h"
#include "crowd.h"
#include "endless_server.h"

namespace options = boost::program_options;

namespace citronsill::hostile {
namespace {

// Limits of callers' requests in the configuration that the stand-in of the store serves. The
// time-outs are longer than a case, so that no case passes because its connections expired.
constexpr const char* kConfiguration =
    R"({"version":2,"routes":[{"name":"short","host":"cell.example","prefix":"/short/",)"
    R"("timeoutMs":3000,"service":"pool","attempts":3,"priority":0,"stretch":1.5,)"
    R"("targetDurationMs":250},{"name":"long","host":"cell.example","prefix":"/long/",)"
    R"("timeoutMs":120000,"service":"pool","attempts":3,"priority":1,"stretch":1.5,)"
    R"("targetDurationMs":250}],"services":[{"name":"pool","admissionCheck":false}],)"
    R"("limits":{"maxHeaderBytes":8192,"maxBodyBytes":262144,"headerTimeoutMs":120000,)"
    R"("idleTimeoutMs":120000}})";
constexpr std::size_t kMaxBodyBytes = 262144;
// The stand-ins end by themselves after this time, should the script not end them.
constexpr std::chrono::seconds kMaxRunTime{600};
constexpr int kEndlessWorkers = 8;
// A peer that takes no byte for this time is taken to read no more.
constexpr int kSendWaitMs = 500;
constexpr std::size_t kPieceBytes = 64U << 10;
// A case that has shown its fault stops, so that a process without limits does not take the memory
// of the machine that runs the test.
constexpr std::size_t kStopFactor = 4;
constexpr int kOrdinaryAttempts = 20;
constexpr int kOrdinaryWaitMs = 10000;
// The request of `requests`: a job with a few steps.
constexpr std::size_t kOrdinaryBodyBytes = 500;
constexpr std::chrono::milliseconds kOrdinaryTimeout{60000};
constexpr std::chrono::milliseconds kSamplePeriod{100};
constexpr int kSettledSamples = 10;
constexpr int kSamplesWithoutCrowd = 30;
// Rounds in which the clients of a stopped process send, at most.
constexpr int kMaxStoppedRounds = 200;
// Connections of the crowds.
constexpr int kEndlessClients = 4;
constexpr std::size_t kEndlessBytes = 24U << 20;
constexpr int kClients = 600;
constexpr int kSlowClients = 200;
constexpr std::size_t kSlowHeaderBytes = 1200;
constexpr int kIdleClients = 1300;
constexpr int kPipelineClients = 100;
constexpr std::size_t kPipelineBytes = 512U << 10;
constexpr int kLinkClients = 100;
constexpr std::size_t kLinkFrameBytes = 2U << 20;
// Bytes that a small receive buffer of a client that does not read holds.
constexpr int kSmallReceiveBuffer = 4096;
// As many as the metrics address takes; each round replaces the one before.
constexpr int kUnreadClients = 64;
constexpr int kUnreadRounds = 3;
// More than `slow_connection_ms`.
constexpr std::chrono::milliseconds kSlowConnection{2500};
// Jobs within the limits of the pages: 64 steps, each with a label, and a payload of the maximum
// length. Together they are several times the memory of the machine.
constexpr int kJobClients = 64;
constexpr int kJobsOfClient = 40;
constexpr int kAbandonedJobs = 4000;
constexpr int kJobSteps = 64;
constexpr std::size_t kJobLabelBytes = 600;
constexpr std::size_t kJobPayloadBytes = 4000;
constexpr int kDecodedClients = 16;
// Interval at which a scheduler that no instance can reach shows in the store that it lives.
constexpr std::chrono::milliseconds kSchedulerPeriod{20};
constexpr std::uint64_t kRepeatedJob = 3'000'000;

struct CaseOptions {
  pid_t pid = 0;
  std::uint16_t target = 0;        // Port that the crowd connects to.
  std::uint16_t ordinary = 0;      // Port of the ordinary request.
  std::string ordinary_path;       // Its target.
  unsigned expected_status = 200;  // Its answer.
  std::size_t memory_kib = 0;      // Bound of resident memory, unread and unsent bytes together.
  // Bound of what resident memory grows by during the case; 0 for none.
  std::size_t growth_kib = 0;
  std::size_t max_descriptors = 0;  // Bound of the open descriptors.
};

std::string Head(const std::string& method, const std::string& fields) {
  return method + " /short/ HTTP/1.1\r\nHost: cell.example\r\n" + fields + "\r\n";
}

std::string JobRequest(const std::string& prefix, std::uint64_t id, const std::string& body) {
  return fmt::format(
      "POST {}{:016x} HTTP/1.1\r\nHost: cell.example\r\nContent-Length: {}\r\n\r\n{}", prefix, id,
      body.size(), body);
}

// A job of the largest size. @param fields further fields of the job.
std::string LargeJob(const std::string& fields) {
  std::string body = R"({"spec":")" + std::string(kJobPayloadBytes, 'x') + R"(",)" + fields;
  body += R"("steps":[)";
  const std::string step = R"({"count":1,"cpu":1,"memMb":1,"requiredLabel":")" +
                           std::string(kJobLabelBytes, 'x') + R"("})";
  for (int i = 0; i < kJobSteps; ++i) body += (i > 0 ? "," : "") + step;
  return body + "]}";
}

// As many steps without a field as the limit of the body allows.
std::string EmptySteps() {
  std::string body = R"({"steps":[{})";
  while (body.size() + 5 <= kMaxBodyBytes) body += ",{}";
  return body + "]}";
}

// A whole message between instances.
std::string LinkFrame(const schema::LinkMessage& message) {
  const std::string body = message.SerializeAsString();
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>(body.size() >> static_cast<unsigned>(shift)));
  }
  return frame + body;
}

constexpr const char* kOrdinaryJob = R"({"spec":"x","steps":[{"count":1,"cpu":100,"memMb":16}]})";

class Crowd {
 public:
  explicit Crowd(const CaseOptions& case_options) : m_options(case_options) {}

  // Connects and sends `opening`, on `count` connections.
  void Connect(int count, const std::string& opening, int receive_buffer_bytes = 0) {
    for (int i = 0; i < count && !IsOverBound(); ++i) {
      m_clients.emplace_back(m_options.target, receive_buffer_bytes);
      m_clients.back().Send(opening, kSendWaitMs);
      Observe();
    }
  }

  // Sends the piece on each connection in turn, until each has sent `bytes` or is closed.
  void SendInTurn(const std::string& piece, std::size_t bytes) {
    for (std::size_t sent = 0; sent < bytes && !IsOverBound(); sent += piece.size()) {
      bool is_any_open = false;
      for (Client& client : m_clients) {
        client.Send(piece, kSendWaitMs);
        is_any_open = is_any_open || client.IsOpen();
      }
      Observe();
      if (!is_any_open) return;
    }
  }

  // Waits until the process has read what was sent: until its state has not changed for a while.
  void Settle() {
    for (int unchanged = 0; unchanged < kSettledSamples && !IsOverBound(); ++unchanged) {
      const auto [before_kib, before_descriptors] = std::pair(m_peak_kib, m_peak_descriptors);
      std::this_thread::sleep_for(kSamplePeriod);
      Observe();
      if (m_peak_kib != before_kib || m_peak_descriptors != before_descriptors) unchanged = 0;
    }
  }

  void StopProcess() const { kill(m_options.pid, SIGSTOP); }
  void ContinueProcess() const { kill(m_options.pid, SIGCONT); }

  // Opens `count` connections to a process that is stopped. Those that it has no room for are made
  // when it goes on.
  void ConnectToStopped(int count) {
    for (int i = 0; i < count; ++i) m_clients.emplace_back(m_options.target, 0, 0);
  }

  // Sends on all connections to a stopped process until its kernel takes no more.
  void FillStopped(const std::string& opening, const std::string& piece) {
    for (Client& client : m_clients) client.Send(opening, 0);
    int unchanged = 0;
    for (int round = 0; round < kMaxStoppedRounds && unchanged < kSettledSamples; ++round) {
      const std::size_t before_kib = m_unread_kib;
      std::size_t sent = 0;
      for (Client& client : m_clients) sent += client.Send(piece, 0);
      std::this_thread::sleep_for(kSamplePeriod);
      Observe();
      unchanged = sent == 0 && m_unread_kib == before_kib ? unchanged + 1 : 0;
    }
  }

  // Submits jobs with `body`, one after the other on each of a few connections, reading each
  // answer.
  void SubmitJobs(const std::string& body) {
    std::uint64_t id = 0;
    Connect(kJobClients, "");
    for (int job = 0; job < kJobsOfClient && !IsOverBound(); ++job) {
      for (Client& client : m_clients) {
        client.Send(JobRequest("/short/", ++id, body), kSendWaitMs);
      }
      for (Client& client : m_clients) client.ReadStatus(kOrdinaryWaitMs);
      Observe();
    }
  }

  // Submits a job on a connection each, and closes it without waiting for the answer.
  void AbandonJobs(int count, const std::string& body) {
    for (int job = 0; job < count && !IsOverBound(); ++job) {
      Client client(m_options.target);
      client.Send(JobRequest("/long/", 1'000'000U + static_cast<std::uint64_t>(job), body),
                  kSendWaitMs);
      if (job % kDecodedClients == 0) Observe();
    }
  }

  // Submits a job, and begins to repeat the call: all but the end of its request. Its body is the
  // largest that is allowed, so that it is the first to make room for others.
  void BeginRepeatedJob() {
    Client first(m_options.ordinary);
    std::string body = kOrdinaryJob;
    body.resize(kMaxBodyBytes, ' ');
    const std::string request = JobRequest("/short/", kRepeatedJob, body);
    first.Send(request, kSendWaitMs);
    if (const unsigned status = first.ReadStatus(kOrdinaryWaitMs); status != 200) {
      m_failures.push_back(fmt::format("the job was not accepted: status {}", status));
    }
    m_repeated.emplace(m_options.ordinary);
    m_repeated->Send(std::string_view(request).substr(0, request.size() - 1), kSendWaitMs);
  }

  // To be called when the crowd has taken the memory of the repeated call: the job was accepted, so
  // no answer may say that it never runs.
  void CheckRepeatedJob() {
    const unsigned status = m_repeated->ReadStatus(kOrdinaryWaitMs);
    if (status == 429 || status == 503) {
      m_failures.push_back(fmt::format("a job that was accepted got status {} later", status));
    }
  }

  // To be called when the process has closed connections whose clients do not read: it must leave
  // nothing behind that it has sent on them, as nobody counts that any more.
  void CheckClosed() {
    Settle();
    if (m_unsent_closed_kib > 0) {
      m_failures.push_back(
          fmt::format("{} KiB unsent on connections that were closed", m_unsent_closed_kib));
    }
  }

  // The case also checks that an ordinary job is accepted while the crowd is connected.
  void ExpectOrdinaryJob() { m_expects_job = true; }

  void DiscardAnswers() {
    for (Client& client : m_clients) client.Discard();
  }

  void Observe() {
    const ProcessState state = ReadProcess(m_options.pid);
    m_lives = m_lives && state.lives;
    if (m_first_kib == 0) m_first_kib = state.peak_resident_kib;
    m_peak_kib = std::max(m_peak_kib, state.peak_resident_kib);
    m_unread_kib = state.unread_kib;
    m_peak_unread_kib = std::max(m_peak_unread_kib, state.unread_kib);
    m_peak_unsent_kib = std::max(m_peak_unsent_kib, state.unsent_kib + state.unsent_closed_kib);
    m_unsent_closed_kib = state.unsent_closed_kib;
    m_peak_descriptors = std::max(m_peak_descriptors, state.descriptors);
  }

  // @returns what did not hold, empty when all held.
  std::vector<std::string> Check() {
    unsigned status = 0;
    for (int attempt = 0; attempt < kOrdinaryAttempts && m_lives; ++attempt) {
      Client client(m_options.ordinary);
      client.Send("GET " + m_options.ordinary_path + " HTTP/1.1\r\nHost: cell.example\r\n\r\n",
                  kSendWaitMs);
      status = client.ReadStatus(kOrdinaryWaitMs);
      Observe();
      if (status == m_options.expected_status) break;
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    Observe();
    std::vector<std::string> failures = m_failures;
    if (!m_lives) failures.emplace_back("the process ended");
    if (m_peak_kib + m_peak_unread_kib + m_peak_unsent_kib > m_options.memory_kib) {
      failures.push_back(fmt::format("{} KiB resident, {} KiB unread and {} KiB unsent, bound {}",
                                     m_peak_kib, m_peak_unread_kib, m_peak_unsent_kib,
                                     m_options.memory_kib));
    }
    if (m_options.growth_kib > 0 && m_peak_kib > m_first_kib + m_options.growth_kib) {
      failures.push_back(fmt::format("{} KiB resident after {} KiB, bound {} KiB more", m_peak_kib,
                                     m_first_kib, m_options.growth_kib));
    }
    if (m_expects_job) {
      if (const unsigned job_status = SubmitOrdinaryJob(); job_status != 200) {
        failures.push_back(fmt::format("an ordinary job got status {}", job_status));
      }
    }
    if (m_peak_descriptors > m_options.max_descriptors) {
      failures.push_back(
          fmt::format("{} descriptors, bound {}", m_peak_descriptors, m_options.max_descriptors));
    }
    if (status != m_options.expected_status) {
      failures.push_back(fmt::format("an ordinary request got status {}, expected {}", status,
                                     m_options.expected_status));
    }
    return failures;
  }

  [[nodiscard]] std::string Summary() const {
    return fmt::format("{} KiB resident, {} KiB unread, {} KiB unsent, {} descriptors", m_peak_kib,
                       m_peak_unread_kib, m_peak_unsent_kib, m_peak_descriptors);
  }

 private:
  // @returns the status of the answer to an ordinary job.
  unsigned SubmitOrdinaryJob() {
    unsigned status = 0;
    for (std::uint64_t attempt = 0; attempt < kOrdinaryAttempts && m_lives; ++attempt) {
      Client client(m_options.ordinary);
      client.Send(JobRequest("/short/", 2'000'000U + attempt, kOrdinaryJob), kSendWaitMs);
      status = client.ReadStatus(kOrdinaryWaitMs);
      Observe();
      if (status == 200) break;
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    return status;
  }

  [[nodiscard]] bool IsOverBound() const {
    return !m_lives || m_peak_kib + m_unread_kib > kStopFactor * m_options.memory_kib;
  }

  CaseOptions m_options;
  std::vector<Client> m_clients;
  std::optional<Client> m_repeated;
  std::vector<std::string> m_failures;
  bool m_lives = true;
  bool m_expects_job = false;
  std::size_t m_first_kib = 0;  // Resident memory when first observed.
  std::size_t m_peak_kib = 0;
  std::size_t m_unread_kib = 0;  // When last observed.
  std::size_t m_peak_unread_kib = 0;
  std::size_t m_peak_unsent_kib = 0;
  std::size_t m_unsent_closed_kib = 0;  // When last observed.
  std::size_t m_peak_descriptors = 0;
};

// Small fields up to a little less than the limit of the header.
std::string ManyFields() {
  std::string fields;
  while (fields.size() < 8000) fields.append("a:b\r\n");
  return fields;
}

const std::map<std::string, std::function<void(Crowd&)>>& Cases() {
  static const std::string chunked = Head("POST", "Transfer-Encoding: chunked\r\n");
  static const std::string sized =
      Head("POST", fmt::format("Content-Length: {}\r\n", kMaxBodyBytes));
  static const std::map<std::string, std::function<void(Crowd&)>> cases{
      // Trailers without end behind a chunked body.
      {"trailers",
       [](Crowd& crowd) {
         crowd.Connect(kEndlessClients, chunked + "1\r\nx\r\n0\r\n");
         crowd.SendInTurn("X-Filler: " + std::string(kPieceBytes, 'x') + "\r\n", kEndlessBytes);
       }},
      // A chunk extension without end.
      {"extension",
       [](Crowd& crowd) {
         crowd.Connect(kEndlessClients, chunked + "1;");
         crowd.SendInTurn(std::string(kPieceBytes, 'x'), kEndlessBytes);
       }},
      // A long extension on each of many small chunks.
      {"extensions",
       [](Crowd& crowd) {
         crowd.Connect(kEndlessClients, chunked);
         crowd.SendInTurn("1;" + std::string(4000, 'x') + "\r\nx\r\n", kEndlessBytes);
       }},
      // Headers that arrive a byte at a time and have no end.
      {"slow-headers",
       [](Crowd& crowd) {
         crowd.Connect(kSlowClients, "GET /short/ HTTP/1.1\r\nX-Filler: ");
         crowd.SendInTurn("x", kSlowHeaderBytes);
       }},
      // Headers of many small fields, which take much more memory than their bytes.
      {"many-fields",
       [](Crowd& crowd) {
         crowd.Connect(kClients, "POST /short/ HTTP/1.1\r\nContent-Length: 100\r\n" + ManyFields() +
                                     "\r\nhalf");
       }},
      // Bodies that lack their last bytes.
      {"half-bodies",
       [](Crowd& crowd) { crowd.Connect(kClients, sized + std::string(262000, 'x')); }},
      {"half-chunked-bodies",
       [](Crowd& crowd) {
         crowd.Connect(kClients, chunked + "3ff00\r\n" + std::string(0x3ff00, 'x'));
       }},
      // Connections that send nothing.
      {"idle", [](Crowd& crowd) { crowd.Connect(kIdleClients, ""); }},
      // Requests whose answers are not read.
      {"unread-answers",
       [](Crowd& crowd) {
         crowd.Connect(kClients, "", kSmallReceiveBuffer);
         std::string requests;
         while (requests.size() < kPieceBytes) requests += "GET /metrics HTTP/1.1\r\n\r\n";
         crowd.SendInTurn(requests.substr(0, 8192), 16384);
       }},
      // The same, on connections that replace each other.
      {"unread-closed",
       [](Crowd& crowd) {
         for (int round = 0; round < kUnreadRounds; ++round) {
           crowd.Connect(kUnreadClients, "GET /metrics HTTP/1.1\r\n\r\n", kSmallReceiveBuffer);
           std::this_thread::sleep_for(kSlowConnection);
         }
         crowd.CheckClosed();
       }},
      // Many requests at once, whose answers are read later.
      {"pipeline",
       [](Crowd& crowd) {
         std::string requests;
         while (requests.size() < kPieceBytes) requests += Head("GET", "");
         crowd.Connect(kPipelineClients, "");
         for (std::size_t sent = 0; sent < kPipelineBytes; sent += requests.size()) {
           crowd.SendInTurn(requests, requests.size());
           crowd.DiscardAnswers();
         }
       }},
      // Connections between instances that begin a large message and do not end it.
      {"half-frames",
       [](Crowd& crowd) {
         std::string frame;
         for (int shift = 24; shift >= 0; shift -= 8) {
           frame.push_back(static_cast<char>(kLinkFrameBytes >> static_cast<unsigned>(shift)));
         }
         crowd.Connect(kLinkClients, frame);
         crowd.SendInTurn(std::string(kPieceBytes, 'x'), kLinkFrameBytes - kPieceBytes);
       }},
      // Peers that say who they are, make calls and do not read the answers.
      {"unread-calls",
       [](Crowd& crowd) {
         schema::LinkMessage hello;
         hello.mutable_hello()->set_instance("n-7");
         schema::LinkMessage call;
         call.mutable_state()->set_id("00000000000000aa");
         call.set_call(1);
         std::string calls;
         while (calls.size() < kPieceBytes) calls += LinkFrame(call);
         crowd.Connect(kLinkClients, LinkFrame(hello), kSmallReceiveBuffer);
         crowd.SendInTurn(calls, kLinkFrameBytes / 2);
       }},
      // New connections to a stopped process, each with a trailer line without end.
      {"stopped-new",
       [](Crowd& crowd) {
         crowd.StopProcess();
         crowd.ConnectToStopped(kClients);
         crowd.FillStopped(chunked + "1\r\nx\r\n0\r\nX-Filler: ", std::string(kPieceBytes, 'x'));
         crowd.ContinueProcess();
         crowd.SendInTurn(std::string(kPieceBytes, 'x'), kPieceBytes);
       }},
      // The same on connections that the process accepted before it was stopped.
      {"stopped-connected",
       [](Crowd& crowd) {
         crowd.Connect(kClients, chunked + "1\r\nx\r\n0\r\n");
         crowd.StopProcess();
         crowd.FillStopped("X-Filler: ", std::string(kPieceBytes, 'x'));
         crowd.ContinueProcess();
         crowd.SendInTurn(std::string(kPieceBytes, 'x'), kPieceBytes);
       }},
      // Jobs within the limits that begin in a year.
      {"scheduled-jobs",
       [](Crowd& crowd) {
         crowd.SubmitJobs(
             LargeJob(R"("maxRuns":1,"startTimeMs":4102444800000,"intervalMs":1000,)"));
         crowd.ExpectOrdinaryJob();
       }},
      // Jobs within the limits that no worker can run.
      {"unplaceable-jobs", [](Crowd& crowd) { crowd.SubmitJobs(LargeJob("")); }},
      // Bodies that take many times their size once they are decoded.
      {"empty-steps",
       [](Crowd& crowd) {
         crowd.Observe();
         crowd.Connect(kDecodedClients, JobRequest("/short/", 1, EmptySteps()));
       }},
      // Jobs whose clients have left while no scheduler answers.
      {"abandoned-jobs", [](Crowd& crowd) { crowd.AbandonJobs(kAbandonedJobs, LargeJob("")); }},
      // A call that repeats an accepted job, among bodies that lack their last bytes.
      {"repeated-job",
       [](Crowd& crowd) {
         crowd.BeginRepeatedJob();
         crowd.Connect(kClients,
                       Head("POST", "Content-Length: 200000\r\n") + std::string(199000, 'x'));
         crowd.CheckRepeatedJob();
       }},
      // No crowd: the process is stopped while answers without end arrive.
      {"stopped-none",
       [](Crowd& crowd) {
         for (int i = 0; i < kSamplesWithoutCrowd; ++i) {
           crowd.Observe();
           std::this_thread::sleep_for(kSamplePeriod);
         }
         crowd.StopProcess();
         crowd.FillStopped("", "");
         crowd.ContinueProcess();
       }},
      // No crowd: what the node calls does not end its answers.
      {"none",
       [](Crowd& crowd) {
         for (int i = 0; i < kSamplesWithoutCrowd; ++i) {
           crowd.Observe();
           std::this_thread::sleep_for(kSamplePeriod);
         }
       }},
  };
  return cases;
}

int RunCase(const std::string& name, const CaseOptions& case_options) {
  const auto found = Cases().find(name);
  if (found == Cases().end()) {
    std::cerr << "citronsill_hostile: no case " << name << '\n';
    return 2;
  }
  Crowd crowd(case_options);
  found->second(crowd);
  crowd.Settle();
  const std::vector<std::string> failures = crowd.Check();
  std::cout << "# " << name << ": " << crowd.Summary() << '\n';
  for (const std::string& failure : failures) std::cout << "# " << name << ": " << failure << '\n';
  return failures.empty() ? 0 : 1;
}

std::optional<EndlessPart> ParsePart(const std::string& name) {
  if (name == "headers") return EndlessPart::kHeaders;
  if (name == "body") return EndlessPart::kBody;
  if (name == "extension") return EndlessPart::kExtension;
  if (name == "trailers") return EndlessPart::kTrailers;
  return std::nullopt;
}

// Runs until SIGTERM. @returns the exit code.
int RunUntilTerminated(Runtime& runtime, TimerService& timers) {
  runtime.OnTerminate([&runtime](int) { runtime.Stop(); });
  timers.After(kMaxRunTime, [&runtime](SteadyTime) { runtime.Stop(); });
  runtime.Run();
  return 0;
}

int RunEndless(const std::string& part_name) {
  const auto part = ParsePart(part_name);
  auto runtime = Runtime::Create(1);
  if (!part || !runtime) return 2;
  auto timers = TimerService::Create(*runtime.value());
  if (!timers) return 2;
  const auto server = std::make_shared<EndlessServer>(runtime.value()->Context(), *part);
  std::cout << server->Listen() << std::endl;
  return RunUntilTerminated(*runtime.value(), *timers.value());
}

// Writes that an instance which cannot be reached is the scheduler, and that it lives.
void ShowScheduler(soak::Platform& services, std::uint64_t sequence) {
  schema::OwnerRow owner;
  owner.set_instance("n-9");
  owner.set_incarnation(9);
  owner.set_address(services.instance_services[0]->advice.Address());
  owner.set_term(1);
  schema::HeadRow head;
  head.set_term(1);
  head.set_sequence(sequence);
  head.set_incarnation(9);
  std::vector<Row> rows{Row{{kHeadTable, "s0", kShardRowKey}, head.SerializeAsString()}};
  if (sequence == 0) {
    rows.push_back(Row{{kOwnerTable, "s0", kShardRowKey}, owner.SerializeAsString()});
  }
  services.store.Apply(RowTransaction{{}, std::move(rows), {}});
}

// @param part the part of the answers of some workers that has no end; "elsewhere" if the scheduler
// is an instance that cannot be reached; else empty.
int RunPlatform(const std::string& part) {
  auto runtime = Runtime::Create(1);
  if (!runtime) return 2;
  auto timers = TimerService::Create(*runtime.value());
  if (!timers) return 2;
  auto platform =
      soak::Platform::Create(*runtime.value(), *timers.value(), 1, 1, 1, milliseconds(6000), 0);
  if (!platform) return 2;
  soak::Platform& services = *platform.value();
  services.actual_behavior = [](const TaskRef&) { return model::TaskBehavior{}; };
  services.store.Apply(RowTransaction{{}, {Row{{"op", "", "config"}, kConfiguration}}, {}});
  std::shared_ptr<EndlessServer> endless;
  if (part == "elsewhere") {
    timers.value()->Every(kSchedulerPeriod,
                          [&services, sequence = std::uint64_t{1}](SteadyTime) mutable {
                            ShowScheduler(services, sequence++);
                          });
    ShowScheduler(services, 0);
  }
  if (const auto endless_part = ParsePart(part); endless_part) {
    endless = std::make_shared<EndlessServer>(runtime.value()->Context(), *endless_part);
    const std::string address = endless->Listen();
    for (int i = 0; i < kEndlessWorkers; ++i) {
      const std::string text = fmt::format(
          R"({{"service":"pool","address":"{}","zone":"a","state":"ready","machine":"e{}",)"
          R"("born":1790000000000,"drainRemainingMs":0,"labels":["a","r1"],)"
          R"("capacity":{{"cpu":8000,"memMb":8000}}}})",
          address, i);
      services.store.Apply(
          RowTransaction{{}, {Row{{"servers", "", fmt::format("endless{}", i)}, text}}, {}});
    }
  }
  std::cout << services.instance_services[0]->store.Address() << ' '
            << services.instance_services[0]->advice.Address() << std::endl;
  return RunUntilTerminated(*runtime.value(), *timers.value());
}

// Sends ordinary requests to a server in this process, one after the other on one connection. What
// one request takes is the difference between the instructions of two counts, divided by theirs.
int RunRequests(int count) {
  auto runtime = Runtime::Create(1);
  if (!runtime) return 2;
  HttpServerOptions server_options;
  server_options.address = "127.0.0.1:0";
  auto server = HttpServer::Create(*runtime.value(), server_options,
                                   [](const HttpRequest& request, const HttpReply& reply) {
                                     HttpResponse response;
                                     response.body = request.body;
                                     reply(std::move(response));
                                   });
  if (!server) return 2;
  HttpClientOptions client_options;
  client_options.address = fmt::format("127.0.0.1:{}", server.value()->Port());
  auto client = HttpClient::Create(*runtime.value(), client_options);
  if (!client) return 2;
  HttpRequest request;
  request.method = "POST";
  request.target = "/short/5c0e7a21d94b36f8";
  request.host = "cell.example";
  request.body = std::string(kOrdinaryBodyBytes, 'x');
  int answered = 0;
  std::function<void()> send = [&] {
    client.value()->Send(request, kOrdinaryTimeout, [&](const Result<HttpResponse>& response) {
      if (!response || ++answered == count) return runtime.value()->Stop();
      send();
    });
  };
  send();
  runtime.value()->Run();
  return answered == count ? 0 : 1;
}

int Main(int argc, char** argv) {
  CaseOptions case_options;
  std::string mode;
  std::string part;
  int request_count = 0;
  options::options_description description("citronsill_hostile");
  auto add = description.add_options();
  add("mode", options::value(&mode)->required(), "platform, endless or the name of a case");
  add("part", options::value(&part)->default_value(""),
      "what does not end: headers, body, extension or trailers; or elsewhere");
  add("pid", options::value(&case_options.pid), "process whose state is checked");
  add("growth-kib", options::value(&case_options.growth_kib),
      "bound of the growth of resident memory; 0 for none");
  add("target", options::value(&case_options.target), "port that the crowd connects to");
  add("ordinary", options::value(&case_options.ordinary), "port of the ordinary request");
  add("path", options::value(&case_options.ordinary_path)->default_value("/short/"),
      "target of the ordinary request");
  add("expect", options::value(&case_options.expected_status)->default_value(200),
      "status of its answer");
  add("memory-kib", options::value(&case_options.memory_kib), "bound of the resident memory");
  add("descriptors", options::value(&case_options.max_descriptors), "bound of open descriptors");
  add("count", options::value(&request_count)->default_value(1000), "number of requests");
  options::positional_options_description positions;
  positions.add("mode", 1).add("part", 1);
  options::variables_map values;
  try {
    options::store(
        options::command_line_parser(argc, argv).options(description).positional(positions).run(),
        values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "citronsill_hostile: " << error.what() << '\n';
    return 2;
  }
  if (mode == "platform") return RunPlatform(part);
  if (mode == "endless") return RunEndless(part);
  if (mode == "requests") return RunRequests(request_count);
  return RunCase(mode, case_options);
}

}  // namespace
}  // namespace citronsill::hostile

int main(int argc, char** argv) { return citronsill::hostile::Main(argc, argv); }
