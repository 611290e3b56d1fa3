#include "config/JsonCheck.hpp"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

namespace redwing::Detail {

namespace {

using Json = nlohmann::json;

/// Walks the text without building a tree. Method names and signatures are those of json_sax.
class TextChecker // NOLINT(readability-identifier-naming)
{
public:
  Findings TakeFindings() { return std::move(findings_); }

  // NOLINTBEGIN(readability-identifier-naming)
  bool null() { return Value(); }
  bool boolean(bool) { return Value(); }
  bool number_integer(Json::number_integer_t) { return Value(); }
  bool number_unsigned(Json::number_unsigned_t) { return Value(); }
  bool number_float(Json::number_float_t, const Json::string_t&) { return Value(); }
  bool string(Json::string_t&) { return Value(); }
  bool binary(Json::binary_t&) { return Value(); }
  bool start_object(std::size_t) { return Open(false); }
  bool start_array(std::size_t) { return Open(true); }
  bool end_object() { return Close(); }
  bool end_array() { return Close(); }

  bool key(Json::string_t& aName)
  {
    Level& level = levels_.back();
    level.name_ = aName;
    if (!level.names_.insert(aName).second) {
      findings_.push_back({ Pointer(), "duplicate member" });
    }
    return true;
  }

  bool parse_error(std::size_t aPosition, const std::string&, const Json::exception& aError)
  {
    // The library's text starts with its own error number in brackets.
    std::string message = aError.what();
    if (const auto end = message.find("] "); end != std::string::npos) {
      message.erase(0, end + 2);
    }
    findings_.push_back({ Pointer(), "byte " + std::to_string(aPosition) + ": " + message });
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

private:
  struct Level
  {
    bool array_ = false;
    std::size_t index_ = 0;
    std::string name_;
    std::set<std::string> names_;
  };

  bool Value()
  {
    if (!levels_.empty()) {
      ++levels_.back().index_;
    }
    return true;
  }

  bool Open(bool aArray)
  {
    if (levels_.size() >= kMaximumDocumentDepth) {
      findings_.push_back({ Pointer(), "nested too deep" });
      return false;
    }
    levels_.push_back({ aArray, 0, {}, {} });
    return true;
  }

  bool Close()
  {
    levels_.pop_back();
    return Value();
  }

  std::string Pointer() const
  {
    std::string pointer;
    for (const Level& level : levels_) {
      if (!level.array_ && level.names_.empty()) {
        break;
      }
      pointer = AppendPointer(pointer, level.array_ ? std::to_string(level.index_) : level.name_);
    }
    return pointer;
  }

  Findings findings_;
  std::vector<Level> levels_;
};

} // namespace

Findings
CheckJsonText(std::string_view aText)
{
  if (aText.size() > kMaximumDocumentBytes) {
    return { { "",
               "document has " + std::to_string(aText.size()) + " bytes, more than " +
                 std::to_string(kMaximumDocumentBytes) } };
  }
  TextChecker checker;
  Json::sax_parse(aText, &checker);
  return checker.TakeFindings();
}

std::string
AppendPointer(const std::string& aParent, std::string_view aName)
{
  std::string pointer = aParent + "/";
  for (const char character : aName) {
    if (character == '~') {
      pointer += "~0";
    } else if (character == '/') {
      pointer += "~1";
    } else {
      pointer += character;
    }
  }
  return pointer;
}

} // namespace redwing::Detail
