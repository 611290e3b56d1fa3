#include "intake/RequestParser.hpp"

#include <boost/beast/core/string.hpp>

namespace redwing::Detail {

namespace {

/// Beast's number for HTTP/1.1.
constexpr int kHttp11 = 11;

std::string
ToString(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

void
RequestParser::on_request_impl(Verb, View aMethod, View aTarget, int aVersion, ErrorCode&)
{
  method_ = ToString(aMethod);
  target_ = ToString(aTarget);
  version_ = aVersion;
}

void
RequestParser::on_field_impl(Field aField, View aName, View aValue, ErrorCode&)
{
  if (headDone_) {
    return;
  }
  if (aField == Field::transfer_encoding) {
    // Beast reads a message with an unknown final coding as having no body; another reader of the
    // same bytes may see one.
    ambiguousFraming_ =
      ambiguousFraming_ || !boost::beast::iequals(aValue, "chunked") || version_ < kHttp11;
    return;
  }
  hosts_ += aField == Field::host ? 1 : 0;
  if (aField != Field::content_length) {
    headers_.push_back({ ToString(aName), ToString(aValue) });
  }
}

std::size_t
RequestParser::on_body_impl(View aBody, ErrorCode&)
{
  body_.append(aBody.data(), aBody.size());
  return aBody.size();
}

std::size_t
RequestParser::on_chunk_body_impl(std::uint64_t, View aBody, ErrorCode&)
{
  body_.append(aBody.data(), aBody.size());
  return aBody.size();
}

} // namespace redwing::Detail
