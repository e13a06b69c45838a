/// \file
/// Tests the batch: token rate, priority, resumption, cancellation and caching.

#include "teaselhill/standin/engine_batch.h"

#include <catch2/catch.hpp>

namespace teaselhill::standin {

using std::chrono::milliseconds;

namespace {

struct RecordingSink : RunSink {
  void OnTokens(const RunSpec& run, size_t at, size_t count) override {
    if (tokens.empty())
      first = at;
    for (size_t i = at; i < at + count; ++i)
      tokens.push_back(run.answer[i]);
  }
  void OnFinished(const RunSpec& run) override { finished = true; }
  void OnCancelled(const RunSpec& run) override { cancelled = true; }

  std::vector<std::string> tokens;
  size_t first = 0;
  bool finished = false;
  bool cancelled = false;
};

struct Fixture {
  explicit Fixture(uint32_t max_batch = 4) {
    BatchConfig config;
    config.max_batch = max_batch;
    config.token_time = milliseconds(10);
    config.batch_slowdown = 0.5;
    config.prefill_tokens_per_second = 10000;
    batch = std::make_unique<EngineBatch>(config, cache, journal);
    batch->Step(now, 1);
  }

  std::shared_ptr<RecordingSink> Submit(const std::string& id,
                                        int priority,
                                        uint32_t resume_offset = 0) {
    RunSpec spec;
    spec.request_id = id;
    spec.priority = priority;
    spec.prompt_tokens = 10;
    for (int i = 0; i < 100; ++i)
      spec.answer.push_back(id + std::to_string(i));
    spec.resume_offset = resume_offset;
    auto sink = std::make_shared<RecordingSink>();
    last = batch->Submit(std::move(spec), sink);
    return sink;
  }

  void Run(milliseconds time, double slow_factor = 1) {
    for (const TimePoint end = now + time; now < end;) {
      now += milliseconds(1);
      batch->Step(now, slow_factor);
    }
  }

  TimePoint now{std::chrono::hours(1)};
  PrefixCache cache{{}};
  Journal journal{now, WallTime{}};
  std::unique_ptr<EngineBatch> batch;
  EngineBatch::RunNumber last = 0;
};

}  // namespace

TEST_CASE("the token rate of each stream falls as the batch grows") {
  struct Row {
    int streams;
    double slow_factor;
    size_t tokens_in_300_ms;
  };
  const Row row = GENERATE(Row{1, 1, 30}, Row{3, 1, 15}, Row{1, 3, 10});
  Fixture fixture;
  std::vector<std::shared_ptr<RecordingSink>> sinks;
  for (int i = 0; i < row.streams; ++i)
    sinks.push_back(fixture.Submit(std::to_string(i), 5));
  fixture.Run(milliseconds(300), row.slow_factor);
  for (const auto& sink : sinks) {
    CHECK(sink->tokens.size() <= row.tokens_in_300_ms);
    CHECK(sink->tokens.size() + 1 >= row.tokens_in_300_ms);
  }
}

TEST_CASE("waiting requests start by priority, then in order of arrival") {
  Fixture fixture(1);
  std::vector<std::string> started;
  fixture.batch->SetStartHook([&](const RunSpec& run) {
    started.push_back(run.request_id);
    // The journal must already contain a run that crashes the process at its
    // start.
    CHECK(fixture.journal.runs().back().request_id == run.request_id);
  });
  fixture.Submit("running", 9);
  fixture.Run(milliseconds(5));
  fixture.Submit("late", 7);
  fixture.Submit("urgent", 0);
  fixture.Submit("later", 7);
  fixture.Run(milliseconds(5000));
  CHECK(started ==
        std::vector<std::string>{"running", "urgent", "late", "later"});
}

TEST_CASE("a resumed answer skips exactly the tokens before its offset") {
  const uint32_t offset = GENERATE(0u, 1u, 60u, 99u, 100u);
  Fixture fixture;
  const auto sink = fixture.Submit("r", 5, offset);
  fixture.Run(milliseconds(2000));
  CHECK(sink->finished);
  CHECK(sink->tokens.size() == 100 - offset);
  if (offset < 100)
    CHECK(sink->tokens.front() == "r" + std::to_string(offset));
  CHECK(fixture.journal.tokens_out() == 100 - offset);
}

TEST_CASE("a cancelled or dropped run emits no further tokens") {
  const bool dropped = GENERATE(false, true);
  const bool running = GENERATE(false, true);
  Fixture fixture(1);
  if (!running)
    fixture.Submit("other", 0);
  const auto sink = fixture.Submit("r", 5);
  fixture.Run(milliseconds(100));
  const size_t before = sink->tokens.size();
  if (dropped)
    fixture.batch->Drop(fixture.last);
  else
    CHECK(fixture.batch->Cancel("r"));
  fixture.Run(milliseconds(3000));
  CHECK(sink->tokens.size() == before);
  CHECK(sink->cancelled == !dropped);
  CHECK_FALSE(fixture.batch->Cancel("r"));
  // A request that was cancelled in the queue must not be journaled as a run.
  CHECK(fixture.journal.runs().size() == 1);
  CHECK(fixture.journal.runs()[0].end ==
        (running ? RunEnd::kCancelled : RunEnd::kFinished));
}

TEST_CASE("a long pause between steps does not cause a burst of tokens") {
  Fixture fixture;
  const auto sink = fixture.Submit("r", 5);
  fixture.Run(milliseconds(20));
  fixture.now += std::chrono::seconds(60);
  fixture.batch->Step(fixture.now, 1);
  CHECK(sink->tokens.size() <= 12);
}

TEST_CASE("a cached prompt prefix shortens the time to the first token") {
  Fixture fixture;
  const std::string prompt(kBlockTokens * kBytesPerToken * 20, 'p');
  const auto time_to_first = [&] {
    RunSpec spec;
    spec.prompt_tokens = CountTokens(prompt);
    spec.blocks = PrefixBlocks("m", prompt);
    spec.answer = {"t"};
    auto sink = std::make_shared<RecordingSink>();
    fixture.batch->Submit(spec, sink);
    const TimePoint start = fixture.now;
    while (sink->tokens.empty())
      fixture.Run(milliseconds(1));
    return fixture.now - start;
  };
  const Duration cold = time_to_first();
  CHECK(cold >= milliseconds(128));
  CHECK(time_to_first() <= milliseconds(15));
}

}  // namespace teaselhill::standin
