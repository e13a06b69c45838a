/// \file
/// Tests of what becomes of the answer that holds most.

#include "teaselhill/gateway/answer_relief.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

// A large answer of a sound upstream is lost if it is taken for one without
// end, and a caller gets half of an answer if it is the other way round.
TEST_CASE("a large answer is passed on, one that may not end is ended") {
  struct Row {
    const char* name;
    HeldAnswer answer;
    AnswerRelief relief;
  };
  const Row row = GENERATE(values<Row>({
      {"known length", {true, false, true, true}, AnswerRelief::kPassOn},
      {"known length, no retry",
       {true, false, true, false},
       AnswerRelief::kPassOn},
      {"no length", {true, false, false, true}, AnswerRelief::kEndAttempt},
      {"no length, no retry",
       {true, false, false, false},
       AnswerRelief::kPassOn},
      {"half of an event",
       {true, true, false, true},
       AnswerRelief::kEndAttempt},
      {"half of an event, no retry",
       {true, true, false, false},
       AnswerRelief::kEndAttempt},
      {"a failure", {false, false, true, true}, AnswerRelief::kEndAttempt},
      {"a failure, no retry",
       {false, false, true, false},
       AnswerRelief::kEndAttempt},
  }));
  INFO(row.name);
  CHECK(DecideAnswerRelief(row.answer) == row.relief);
}

}  // namespace teaselhill::gateway
