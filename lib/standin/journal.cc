/// \file
/// Records runs in memory and in the journal file.

#include "teaselhill/standin/journal.h"

#include <cassert>

#include "teaselhill/standin/messages.h"

namespace teaselhill::standin {

namespace {
constexpr size_t kMaxJournaledRuns = 1000000;
constexpr Journal::Handle kNoRun = kMaxJournaledRuns;
}  // namespace

bool Journal::OpenFile(const std::string& path) {
  file_.reset(std::fopen(path.c_str(), "a"));
  return file_ != nullptr;
}

Journal::Handle Journal::Begin(std::string request_id,
                               std::string key,
                               std::string model,
                               TimePoint now) {
  if (runs_.size() >= kMaxJournaledRuns) {
    ++dropped_;
    return kNoRun;
  }
  JournalRun run;
  run.request_id = std::move(request_id);
  run.key = std::move(key);
  run.model = std::move(model);
  const auto started =
      wall_base_ +
      std::chrono::duration_cast<std::chrono::milliseconds>(now - steady_base_);
  run.started_ms = started.time_since_epoch().count();
  runs_.push_back(std::move(run));
  WriteLine(runs_.back());
  return runs_.size() - 1;
}

void Journal::AddTokens(Handle run, uint64_t tokens) {
  tokens_out_ += tokens;
  if (run != kNoRun)
    runs_[run].tokens_out += tokens;
}

void Journal::End(Handle run, RunEnd end) {
  if (run == kNoRun)
    return;
  runs_[run].end = end;
  WriteLine(runs_[run]);
}

void Journal::WriteLine(const JournalRun& run) {
  if (!file_)
    return;
  const std::string line = ToJson(run) + "\n";
  std::fwrite(line.data(), 1, line.size(), file_.get());
  std::fflush(file_.get());
}

}  // namespace teaselhill::standin
