#include "config/SelectorParser.hpp"

#include <algorithm>
#include <cctype>

namespace redwing {

namespace {

constexpr std::size_t kMaximumTerms = 32;
constexpr std::size_t kMaximumWordLength = 128;

bool
IsWordCharacter(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 || aCharacter == '_' ||
         aCharacter == '-' || aCharacter == '.' || aCharacter == '/';
}

/// Reads words and punctuation from selector text.
class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : text_(aText)
  {
  }

  bool AtEnd()
  {
    SkipSpace();
    return position_ == text_.size();
  }

  bool Accept(std::string_view aToken)
  {
    SkipSpace();
    if (!text_.substr(position_).starts_with(aToken)) {
      return false;
    }
    position_ += aToken.size();
    return true;
  }

  /// Returns an empty word when none follows.
  std::string Word()
  {
    SkipSpace();
    const std::size_t begin = position_;
    while (position_ < text_.size() && IsWordCharacter(text_[position_])) {
      ++position_;
    }
    return std::string(text_.substr(begin, position_ - begin));
  }

  tl::unexpected<std::string> Error(std::string_view aExpected) const
  {
    return tl::unexpected("position " + std::to_string(position_) + ": expected " +
                          std::string(aExpected));
  }

private:
  void SkipSpace()
  {
    while (position_ < text_.size() && text_[position_] == ' ') {
      ++position_;
    }
  }

  std::string_view text_;
  std::size_t position_ = 0;
};

using TermResult = tl::expected<SelectorTerm, std::string>;

TermResult
ParseSet(Scanner& aScanner, SelectorTerm aTerm)
{
  if (!aScanner.Accept("(")) {
    return aScanner.Error("'('");
  }
  do {
    std::string value = aScanner.Word();
    if (value.empty()) {
      return aScanner.Error("a value");
    }
    aTerm.values_.push_back(std::move(value));
  } while (aScanner.Accept(","));
  if (!aScanner.Accept(")")) {
    return aScanner.Error("',' or ')'");
  }
  return aTerm;
}

TermResult
ParseTerm(Scanner& aScanner)
{
  SelectorTerm term;
  const bool negated = aScanner.Accept("!");
  term.label_ = aScanner.Word();
  if (term.label_.empty() || term.label_.size() > kMaximumWordLength) {
    return aScanner.Error("a label of 1 to 128 characters");
  }
  if (negated) {
    term.operator_ = SelectorOperator::NotExists;
    return term;
  }
  const bool notEquals = aScanner.Accept("!=");
  if (notEquals || aScanner.Accept("=")) {
    term.operator_ = notEquals ? SelectorOperator::NotEquals : SelectorOperator::Equals;
    term.values_.push_back(aScanner.Word());
    if (term.values_.front().empty()) {
      return aScanner.Error("a value");
    }
    return term;
  }
  const std::string word = aScanner.Word();
  if (word.empty()) {
    return term;
  }
  if (word != "in" && word != "notin") {
    return aScanner.Error("an operator before this position");
  }
  term.operator_ = word == "in" ? SelectorOperator::In : SelectorOperator::NotIn;
  return ParseSet(aScanner, std::move(term));
}

std::string
TermText(const SelectorTerm& aTerm)
{
  const auto list = [&aTerm] {
    std::string text;
    for (const std::string& value : aTerm.values_) {
      text += (text.empty() ? "" : ", ") + value;
    }
    return "(" + text + ")";
  };
  switch (aTerm.operator_) {
    case SelectorOperator::Equals:
      return aTerm.label_ + " = " + aTerm.values_.front();
    case SelectorOperator::NotEquals:
      return aTerm.label_ + " != " + aTerm.values_.front();
    case SelectorOperator::In:
      return aTerm.label_ + " in " + list();
    case SelectorOperator::NotIn:
      return aTerm.label_ + " notin " + list();
    case SelectorOperator::NotExists:
      return "!" + aTerm.label_;
    case SelectorOperator::Exists:
      break;
  }
  return aTerm.label_;
}

} // namespace

tl::expected<std::vector<SelectorTerm>, std::string>
SelectorParser::Parse(std::string_view aText)
{
  Scanner scanner(aText);
  std::vector<SelectorTerm> terms;
  do {
    auto term = ParseTerm(scanner);
    if (!term) {
      return tl::unexpected(term.error());
    }
    terms.push_back(std::move(*term));
    if (terms.size() > kMaximumTerms) {
      return scanner.Error("at most 32 terms");
    }
  } while (scanner.Accept(","));
  if (!scanner.AtEnd()) {
    return scanner.Error("',' or the end");
  }
  return terms;
}

std::string
SelectorParser::ToText(const std::vector<SelectorTerm>& aTerms)
{
  std::string text;
  for (const SelectorTerm& term : aTerms) {
    text += (text.empty() ? "" : ", ") + TermText(term);
  }
  return text;
}

} // namespace redwing
