/// \file
/// Journal of the runs that a stand-in started.

#ifndef TEASELHILL_STANDIN_JOURNAL_H_
#define TEASELHILL_STANDIN_JOURNAL_H_

#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "teaselhill/support/time.h"

namespace teaselhill::standin {

enum class RunEnd { kRunning, kFinished, kCancelled };

struct JournalRun {
  std::string request_id;
  std::string key;
  std::string model;
  /// Wall-clock start time in milliseconds since the Unix epoch.
  int64_t started_ms = 0;
  uint64_t tokens_out = 0;
  RunEnd end = RunEnd::kRunning;
};

/// Records runs in the order in which they started. When the maximum number of
/// runs is reached, further runs are not recorded but counted in dropped();
/// tokens_out() and prefill_tokens() include their tokens.
class Journal {
 public:
  using Handle = size_t;

  /// `steady` and `wall` are the times of the monotonic and the wall clock at
  /// the same moment. The journal uses the pair to convert the start times of
  /// runs from monotonic to wall-clock time.
  Journal(TimePoint steady, WallTime wall)
      : steady_base_(steady), wall_base_(wall) {}

  /// Also appends each start and end of a run to the file `path`, which
  /// survives a crash of the process. Returns false if the file cannot be
  /// opened.
  bool OpenFile(const std::string& path);

  Handle Begin(std::string request_id,
               std::string key,
               std::string model,
               TimePoint now);
  void AddTokens(Handle run, uint64_t tokens);
  void AddPrefill(uint64_t tokens) { prefill_tokens_ += tokens; }
  void End(Handle run, RunEnd end);

  const std::vector<JournalRun>& runs() const { return runs_; }
  uint64_t tokens_out() const { return tokens_out_; }
  uint64_t prefill_tokens() const { return prefill_tokens_; }
  uint64_t dropped() const { return dropped_; }

 private:
  struct FileCloser {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };
  void WriteLine(const JournalRun& run);

  TimePoint steady_base_;
  WallTime wall_base_;
  std::vector<JournalRun> runs_;
  uint64_t tokens_out_ = 0;
  uint64_t prefill_tokens_ = 0;
  uint64_t dropped_ = 0;
  std::unique_ptr<std::FILE, FileCloser> file_;
};

}  // namespace teaselhill::standin

#endif  // TEASELHILL_STANDIN_JOURNAL_H_
