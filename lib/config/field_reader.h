/// \file
/// Reads and checks the fields of JSON objects.

#ifndef TEASELHILL_LIB_CONFIG_FIELD_READER_H_
#define TEASELHILL_LIB_CONFIG_FIELD_READER_H_

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "codec.h"
#include "teaselhill/support/time.h"

namespace teaselhill::config {

/// Path of an element of an array, in errors.
std::string IndexedPath(const std::string& path, size_t index);

/// Reads the fields of one JSON object and reports unknown fields.
class FieldReader {
 public:
  FieldReader(const Json& json, std::string path, ValidationErrors* errors);

  std::string PathOf(const std::string& field) const;

  void AddError(const std::string& field, const std::string& text);

  const Json* Find(const char* field);

  std::string ReadString(const char* field, bool required);

  std::string ReadName(const char* field);

  double ReadNumber(const char* field,
                    double fallback,
                    double minimum,
                    double maximum);

  int ReadInteger(const char* field, int fallback, int minimum, int maximum);

  bool ReadBool(const char* field, bool fallback);

  Duration ReadDuration(const char* field);

  /// Returns the array, or an empty array if the field is missing or of another
  /// type.
  const Json& FindArray(const char* field);

  std::vector<std::string> ReadStrings(const char* field,
                                       bool (*valid)(std::string_view),
                                       const char* rule);

  /// Reports each field of the object that was not looked up through this
  /// reader before. Must be called after all fields have been read.
  void ReportUnknownFields();

 private:
  const Json& json_;
  std::string path_;
  ValidationErrors* errors_;
  std::set<std::string> known_;
};

}  // namespace teaselhill::config

#endif  // TEASELHILL_LIB_CONFIG_FIELD_READER_H_
