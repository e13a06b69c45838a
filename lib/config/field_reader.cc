/// \file
/// Checks of the fields of JSON objects.

#include "field_reader.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <utility>

#include "teaselhill/config/contract_format.h"

namespace teaselhill::config {

std::string IndexedPath(const std::string& path, size_t index) {
  return path + "[" + std::to_string(index) + "]";
}

FieldReader::FieldReader(const Json& json,
                         std::string path,
                         ValidationErrors* errors)
    : json_(json), path_(std::move(path)), errors_(errors) {
  if (!json_.is_object())
    errors_->Add(path_.empty() ? "document" : path_, "must be an object");
}

std::string FieldReader::PathOf(const std::string& field) const {
  return path_.empty() ? field : path_ + "." + field;
}

void FieldReader::AddError(const std::string& field, const std::string& text) {
  errors_->Add(PathOf(field), text);
}

const Json* FieldReader::Find(const char* field) {
  known_.insert(field);
  if (!json_.is_object())
    return nullptr;
  const auto found = json_.find(field);
  return found == json_.end() ? nullptr : &*found;
}

std::string FieldReader::ReadString(const char* field, bool required) {
  const Json* value = Find(field);
  if (!value) {
    if (required && json_.is_object())
      AddError(field, "is missing");
    return "";
  }
  if (!value->is_string()) {
    AddError(field, "must be a string");
    return "";
  }
  return value->get<std::string>();
}

std::string FieldReader::ReadName(const char* field) {
  std::string name = ReadString(field, true);
  if (Find(field) && Find(field)->is_string() && !IsName(name))
    AddError(field, "must be 1 to 64 letters, digits, '.', '_' or '-'");
  return name;
}

double FieldReader::ReadNumber(const char* field,
                               double fallback,
                               double minimum,
                               double maximum) {
  const Json* value = Find(field);
  if (!value)
    return fallback;
  if (!value->is_number() || !std::isfinite(value->get<double>()) ||
      value->get<double>() < minimum || value->get<double>() > maximum) {
    char text[80];
    std::snprintf(text, sizeof(text), "must be a number from %g to %g", minimum,
                  maximum);
    AddError(field, text);
    return fallback;
  }
  return value->get<double>();
}

int FieldReader::ReadInteger(const char* field,
                             int fallback,
                             int minimum,
                             int maximum) {
  const Json* value = Find(field);
  if (!value)
    return fallback;
  // Unsigned values are compared with the maximum before the conversion to
  // int64_t, in which a value above INT64_MAX would become negative.
  const bool fits =
      value->is_number_unsigned()
          ? value->get<uint64_t>() <= static_cast<uint64_t>(maximum)
          : value->is_number_integer();
  if (!fits || value->get<int64_t>() < minimum ||
      value->get<int64_t>() > maximum) {
    AddError(field, "must be a whole number from " + std::to_string(minimum) +
                        " to " + std::to_string(maximum));
    return fallback;
  }
  return value->get<int>();
}

bool FieldReader::ReadBool(const char* field, bool fallback) {
  const Json* value = Find(field);
  if (!value)
    return fallback;
  if (!value->is_boolean()) {
    AddError(field, "must be true or false");
    return fallback;
  }
  return value->get<bool>();
}

Duration FieldReader::ReadDuration(const char* field) {
  const Json* value = Find(field);
  if (!value)
    return Duration{};
  if (!value->is_string()) {
    AddError(field, "must be a string such as \"1800ms\"");
    return Duration{};
  }
  const auto parsed = ParseDuration(value->get<std::string>());
  if (!parsed)
    AddError(field, parsed.error().message);
  return parsed ? *parsed : Duration{};
}

const Json& FieldReader::FindArray(const char* field) {
  static const Json empty = Json::array();
  const Json* value = Find(field);
  if (!value)
    return empty;
  if (!value->is_array()) {
    AddError(field, "must be an array");
    return empty;
  }
  return *value;
}

std::vector<std::string> FieldReader::ReadStrings(
    const char* field,
    bool (*valid)(std::string_view),
    const char* rule) {
  std::vector<std::string> texts;
  const Json& array = FindArray(field);
  for (size_t i = 0; i < array.size(); ++i) {
    const std::string path = IndexedPath(PathOf(field), i);
    const std::string text =
        array[i].is_string() ? array[i].get<std::string>() : "";
    if (!array[i].is_string() || !valid(text))
      errors_->Add(path, rule);
    else if (std::find(texts.begin(), texts.end(), text) != texts.end())
      errors_->Add(path, "'" + text + "' is listed twice");
    texts.push_back(text);
  }
  return texts;
}

void FieldReader::ReportUnknownFields() {
  if (!json_.is_object())
    return;
  for (const auto& [field, value] : json_.items())
    if (known_.count(field) == 0)
      AddError(field, "is not a known field");
}

}  // namespace teaselhill::config
