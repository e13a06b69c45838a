/// \file
/// Tests of the bound on all unfinished messages together.

#include "teaselhill/net/memory_budget.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace teaselhill::net {
namespace {

/// Runs posted functions when told to.
class Queue {
 public:
  MemoryBudget::Post poster() {
    return [this](std::function<void()> function) {
      functions_.push_back(std::move(function));
    };
  }
  void Run() {
    while (!functions_.empty()) {
      const auto function = std::move(functions_.front());
      functions_.pop_front();
      function();
    }
  }

 private:
  std::deque<std::function<void()>> functions_;
};

/// Messages of a budget of 100 bytes that are dropped when they give way.
struct Messages {
  Queue queue;
  MemoryBudget budget{100, queue.poster()};
  std::map<std::string, std::unique_ptr<MemoryBudget::Account>> open;
  std::string dropped;

  void Add(const std::string& name, size_t bytes) {
    open[name] = budget.Open([this, name] {
      dropped += name;
      open.erase(name);
    });
    open[name]->Set(bytes);
  }
};

}  // namespace

// Many messages within their own bounds fill the memory of the host together.
TEST_CASE("the largest messages give way until the rest fits") {
  struct Row {
    size_t a, b, c;
    std::string dropped;
    size_t held;
  };
  const auto row =
      GENERATE(Row{50, 30, 20, "", 100}, Row{50, 31, 20, "a", 51},
               Row{20, 30, 120, "c", 50}, Row{90, 20, 95, "ca", 20});
  Messages messages;
  messages.Add("a", row.a);
  messages.Add("b", row.b);
  messages.Add("c", row.c);
  messages.queue.Run();
  CHECK(messages.dropped == row.dropped);
  CHECK(messages.budget.held_bytes() == row.held);
}

// A budget that ends a message inside its own callback would destroy the
// message while it is used.
TEST_CASE("nothing gives way before the posted function runs") {
  Messages messages;
  messages.Add("a", 200);
  CHECK(messages.dropped.empty());
  CHECK(messages.budget.IsExceeded());
  messages.queue.Run();
  CHECK(messages.dropped == "a");
  CHECK(messages.budget.held_bytes() == 0);
}

// Bytes that cannot be dropped would otherwise keep the loop busy for ever.
TEST_CASE("an account that cannot give way is passed over") {
  Messages messages;
  const auto fixed = messages.budget.Open();
  fixed->Set(500);
  messages.Add("a", 60);
  messages.queue.Run();
  CHECK(messages.dropped == "a");
  CHECK(messages.budget.held_bytes() == 500);
}

// Requests that fill the budget would end the answers of others.
TEST_CASE("accounts that never give way leave half of the bound to others") {
  struct Row {
    size_t fixed, answer;
    bool gives_way;
  };
  const auto row = GENERATE(Row{500, 50, false}, Row{500, 51, true},
                            Row{30, 70, false}, Row{30, 71, true});
  Messages messages;
  const auto request = messages.budget.Open();
  request->Set(row.fixed);
  messages.Add("a", row.answer);
  messages.queue.Run();
  CHECK(messages.dropped.empty() != row.gives_way);
}

// A message that holds next to nothing would end though nothing is gained.
TEST_CASE("messages that hold next to nothing do not give way") {
  Queue queue;
  MemoryBudget budget(1 << 20, queue.poster());
  bool gave_way = false;
  const auto small = budget.Open([&] { gave_way = true; });
  small->Set(1024);
  const auto other = budget.Open();
  other->Set(2 << 20);
  queue.Run();
  CHECK_FALSE(gave_way);
}

// A loop may run the posted function after the budget has been destroyed.
TEST_CASE("a relief that is still posted survives its budget") {
  Queue queue;
  {
    MemoryBudget budget(1, queue.poster());
    budget.Open([] {})->Set(2);
  }
  queue.Run();
}

}  // namespace teaselhill::net
