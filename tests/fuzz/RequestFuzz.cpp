#include "FuzzTarget.hpp"
#include "intake/RequestHead.hpp"
#include "intake/RequestParser.hpp"

#include <boost/asio/buffer.hpp>
#include <optional>

using namespace redwing;
using namespace redwing::Detail;
using redwing::fuzz::Require;

namespace {

/// Guards against credentials, reserved headers and line ends that reach a backend server.
void
CheckHead(const RequestHead& aHead)
{
  Require(!aHead.target_.empty() && aHead.target_.front() == '/', "the target is a path");
  Require(aHead.target_.find_first_of("\r\n ") == std::string::npos, "the target is one word");
  const std::string_view path = aHead.Path();
  if (path.size() < aHead.target_.size()) {
    const std::string_view query = std::string_view(aHead.target_).substr(path.size() + 1);
    Require(WithoutKeyParameters(query) == query, "the query holds no API key parameter");
  }
  for (const Header& header : aHead.headers_) {
    Require(!SameName(header.name_, "authorization"), "no credentials are passed on");
    Require(!IsHopByHop(header.name_), "no hop-by-hop header is passed on");
    Require(header.name_.size() < 8 || !SameName(header.name_.substr(0, 8), "redwing-"),
            "no reserved header is passed on");
    Require(header.name_.find_first_of(": \t\r\n") == std::string::npos, "names are tokens");
    Require(header.value_.find_first_of("\r\n") == std::string::npos, "values are one line");
    Require(aHead.apiKey_.empty() || header.value_.find(aHead.apiKey_) == std::string::npos,
            "no header holds the API key");
  }
  Require(aHead.apiKey_.empty() || aHead.target_.find(aHead.apiKey_) == std::string::npos,
          "the target does not hold the API key");
}

struct Body
{
  std::string bytes_;
  bool done_ = false;
  bool failed_ = false;
};

/// Reads the body in pieces of aPiece bytes. Bytes that the parser can't use yet are offered again
/// with the next ones, as CallerConnection does.
Body
ReadBody(std::string_view aHead, std::string_view aRest, std::size_t aPiece)
{
  RequestParser parser;
  parser.body_limit(boost::none);
  boost::system::error_code error;
  parser.put(boost::asio::buffer(aHead.data(), aHead.size()), error);
  std::size_t begin = 0;
  std::size_t end = 0;
  while (!parser.is_done() && !error && end < aRest.size()) {
    end = std::min(aRest.size(), end + aPiece);
    std::size_t used = 1;
    while (used > 0 && begin < end && !parser.is_done() && !error) {
      used = parser.put(boost::asio::buffer(aRest.data() + begin, end - begin), error);
      begin += used;
      if (error == boost::beast::http::error::need_more) {
        error = {};
      }
    }
  }
  return { std::move(parser.body_), parser.is_done(), error.failed() };
}

} // namespace

int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes = fuzz::View(aData, aSize);
  const std::size_t end = bytes.find("\r\n\r\n");
  if (end == std::string_view::npos) {
    return 0;
  }
  const std::string_view headBytes = bytes.substr(0, end + 4);
  const std::string_view rest = bytes.substr(end + 4);
  RequestParser parser;
  parser.header_limit(static_cast<std::uint32_t>(headBytes.size() + 1));
  parser.body_limit(boost::none);
  boost::system::error_code error;
  parser.put(boost::asio::buffer(headBytes.data(), headBytes.size()), error);
  if (error || !parser.is_header_done()) {
    return 0;
  }
  RequestHead head;
  if (CleanHead({},
                std::move(parser.method_),
                std::move(parser.target_),
                std::move(parser.headers_),
                head) == nullptr) {
    CheckHead(head);
  }
  if (!parser.ambiguousFraming_ && headBytes.size() < 4096) {
    // Guards against a body that depends on how the bytes are split, the base of smuggling.
    const Body whole = ReadBody(headBytes, rest, rest.size() + 1);
    const Body split = ReadBody(headBytes, rest, 7);
    Require(whole.done_ == split.done_ && whole.failed_ == split.failed_, "framing is one reading");
    Require(whole.failed_ || whole.bytes_ == split.bytes_, "a split body is the same body");
  }
  return 0;
}
