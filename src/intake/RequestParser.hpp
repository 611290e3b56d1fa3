#pragma once

#include "exchange/Events.hpp"

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace redwing::Detail {

/// Parses one request; collects headers in the form that the events use and body bytes up to a
/// chunk. Trailers are read and discarded.
class RequestParser final : public boost::beast::http::basic_parser<true>
{
public:
  std::string method_;
  std::string target_;
  int version_ = 0;
  HeaderList headers_;
  std::string body_;
  /// Set when framing headers allow more than one reading.
  bool ambiguousFraming_ = false;
  unsigned hosts_ = 0;

private:
  using Verb = boost::beast::http::verb;
  using Field = boost::beast::http::field;
  using View = boost::beast::string_view;
  using ErrorCode = boost::beast::error_code;

  void on_request_impl(Verb, View aMethod, View aTarget, int aVersion, ErrorCode&) override;
  void on_response_impl(int, View, int, ErrorCode&) override {}
  void on_field_impl(Field aField, View aName, View aValue, ErrorCode&) override;
  void on_header_impl(ErrorCode&) override { headDone_ = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>&, ErrorCode&) override {}
  std::size_t on_body_impl(View aBody, ErrorCode&) override;
  void on_chunk_header_impl(std::uint64_t, View, ErrorCode&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View aBody, ErrorCode&) override;
  void on_finish_impl(ErrorCode&) override {}

  bool headDone_ = false;
};

} // namespace redwing::Detail
