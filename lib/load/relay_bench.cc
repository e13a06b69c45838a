/// \file
/// Client of the relay benchmark.

#include "teaselhill/load/relay_bench.h"

#include <algorithm>
#include <memory>
#include <thread>

#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/http_client.h"

namespace teaselhill::load {

namespace {

/// Event loop and streams of one client thread.
class BenchThread {
 public:
  BenchThread(const RelayBenchOptions& options, int index, int streams)
      : options_(options), index_(index), streams_(streams), client_(loop_) {}

  void Run() {
    end_ = SteadyNow() + options_.duration;
    for (int i = 0; i < streams_; ++i)
      StartAfter(options_.think_time * i / std::max(1, streams_));
    const TimerSubscription stop = loop_.timers().After(
        options_.duration, [this](TimePoint) { loop_.Stop(); });
    loop_.Run();
  }

  RelayBenchResult result;

 private:
  class Stream;

  void StartAfter(Duration delay);
  void Start();
  void OnDone(bool complete) {
    ++(complete ? result.answers : result.failures);
    StartAfter(options_.think_time);
  }

  const RelayBenchOptions& options_;
  int index_;
  int streams_;
  net::EventLoop loop_;
  net::HttpClient client_;
  TimePoint end_;
  uint64_t started_ = 0;
  std::vector<TimerSubscription> start_timers_;
};

class BenchThread::Stream : public net::TransferHandler {
 public:
  Stream(BenchThread& owner, TimePoint now) : owner_(owner), started_(now) {}

  void OnHead(int status, const net::Headers&) override { ok_ = status == 200; }

  void OnData(std::string_view data) override {
    if (!ok_)
      return;
    // Each content event contains this text. An event is not counted if the
    // text is split between two calls of OnData().
    constexpr std::string_view kContent = "\"content\":\"";
    uint64_t events = 0;
    for (size_t at = data.find(kContent); at != std::string_view::npos;
         at = data.find(kContent, at + kContent.size()))
      ++events;
    if (events > 0 && !seen_token_) {
      seen_token_ = true;
      owner_.result.first_token.push_back(SteadyNow() - started_);
    }
    owner_.result.events += events;
    // `[DONE]` ends the stream and may be split between two calls of OnData().
    constexpr std::string_view kDone = "[DONE]";
    tail_.append(
        data.substr(data.size() - std::min(data.size(), kDone.size() + 2)));
    done_ |= tail_.find(kDone) != std::string::npos;
    tail_.erase(0, tail_.size() - std::min(tail_.size(), kDone.size() + 2));
  }

  void OnEnd(const net::TransferEnd&) override { owner_.OnDone(ok_ && done_); }

 private:
  BenchThread& owner_;
  TimePoint started_;
  bool ok_ = false;
  std::string tail_;
  bool done_ = false;
  bool seen_token_ = false;
};

void BenchThread::StartAfter(Duration delay) {
  if (delay <= Duration::zero()) {
    Start();
    return;
  }
  start_timers_.push_back(
      loop_.timers().After(delay, [this](TimePoint) { Start(); }));
}

void BenchThread::Start() {
  if (SteadyNow() >= end_)
    return;
  net::ClientRequest request;
  request.method = "POST";
  request.url =
      options_.urls[started_ % options_.urls.size()] + "/v1/chat/completions";
  request.headers = options_.headers;
  request.headers.push_back({"Content-Type", "application/json"});
  request.body =
      R"({"model":")" + options_.model + R"(","stream":true,"max_tokens":)" +
      std::to_string(options_.tokens) +
      R"(,"messages":[{"role":"user","content":"bench )" +
      std::to_string(index_) + "-" + std::to_string(started_) + R"("}]})";
  ++started_;
  client_.Start(std::move(request),
                std::make_shared<Stream>(*this, SteadyNow()));
}

}  // namespace

RelayBenchResult RunRelayBench(const RelayBenchOptions& options) {
  std::vector<std::unique_ptr<BenchThread>> clients;
  std::vector<std::thread> threads;
  for (int i = 0; i < options.threads; ++i)
    clients.push_back(std::make_unique<BenchThread>(
        options, i, options.streams / options.threads));
  for (const auto& client : clients)
    threads.emplace_back([&client] { client->Run(); });
  for (std::thread& thread : threads)
    thread.join();
  RelayBenchResult total;
  for (const auto& client : clients) {
    total.answers += client->result.answers;
    total.failures += client->result.failures;
    total.events += client->result.events;
    total.first_token.insert(total.first_token.end(),
                             client->result.first_token.begin(),
                             client->result.first_token.end());
  }
  std::sort(total.first_token.begin(), total.first_token.end());
  total.events_per_second =
      static_cast<double>(total.events) / ToSeconds(options.duration);
  return total;
}

Duration Quantile(const std::vector<Duration>& ascending, double quantile) {
  if (ascending.empty())
    return Duration::zero();
  const auto last = static_cast<double>(ascending.size() - 1);
  return ascending[static_cast<size_t>(quantile * last)];
}

}  // namespace teaselhill::load
