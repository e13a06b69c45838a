/// \file
/// JSON form of the records of stream `orders`.

#include <nlohmann/json.hpp>

#include "teaselhill/orders/messages.h"

namespace teaselhill::orders {

using nlohmann::json;

std::string EncodeLease(const LeaseRecord& record) {
  json object{{"domain", record.domain},
              {"host", record.holder.host},
              {"incarnation", record.holder.incarnation},
              {"duration_ns", record.duration.count()}};
  if (record.previous != kNoRecord)
    object["previous"] = record.previous;
  return object.dump();
}

Result<LeaseRecord> DecodeLease(const std::string& text) {
  try {
    const json object = json::parse(text);
    LeaseRecord record;
    record.domain = object.at("domain").get<std::string>();
    record.holder.host = object.at("host").get<std::string>();
    record.holder.incarnation = object.at("incarnation").get<uint64_t>();
    record.previous = object.value("previous", kNoRecord);
    record.duration = Duration(object.at("duration_ns").get<int64_t>());
    return record;
  } catch (const std::exception& failure) {
    return Error{ResultCode::kUnreadableRecord,
                 std::string("lease record: ") + failure.what()};
  }
}

}  // namespace teaselhill::orders
