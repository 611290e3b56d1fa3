#include "backend/HttpConnection.hpp"

#include "core/SocketBuffers.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <charconv>
#include <cstring>
#include <netinet/tcp.h>
#include <utility>

namespace redwing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::string_view;
using boost::system::error_code;

namespace {

constexpr std::size_t kInitialInputBytes = 8 * 1024;
constexpr std::size_t kMaxInputBytes = kMaxChunkBytes;
constexpr int kTcpUserTimeoutMs = 2000;
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;
/// Maximum number of bytes of interim and stale responses that are discarded before the connection
/// is closed.
constexpr std::size_t kMaxStaleBytes = 1024 * 1024;
constexpr std::uint16_t kFirstStatus = 100;
constexpr std::uint16_t kFirstFinalStatus = 200;
constexpr std::uint16_t kLastStatus = 599;

bool
IsHopByHop(http::field aField)
{
  switch (aField) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
      return true;
    default:
      return false;
  }
}

} // namespace

/// Parses one response and collects its head and the body bytes not yet delivered. aConnection
/// outlives it.
class HttpConnection::Reader : public http::basic_parser<false>
{
public:
  Reader(HttpConnection& aConnection, bool aHeadMethod)
    : connection_(aConnection)
  {
    eager(true);
    skip(aHeadMethod);
    header_limit(kMaxHeadBytes);
    body_limit(boost::none);
  }

  HttpHead head_;
  std::string body_;
  /// Belongs to another request.
  bool stale_ = false;

private:
  void on_request_impl(http::verb, string_view, string_view, int, error_code&) override {}
  void on_response_impl(int aStatus, string_view, int, error_code&) override
  {
    head_.status_ = static_cast<std::uint16_t>(aStatus);
  }
  void on_field_impl(http::field aField,
                     string_view aName,
                     string_view aValue,
                     error_code&) override
  {
    // Fields that follow the body are trailers, which are not forwarded.
    if (!is_header_done() && !IsHopByHop(aField)) {
      head_.headers_.push_back({ std::string(aName), std::string(aValue) });
    }
  }
  void on_header_impl(error_code&) override
  {
    if (const auto length = content_length()) {
      head_.contentLength_ = *length;
    }
    CheckId();
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}
  std::size_t on_body_impl(string_view aBody, error_code&) override
  {
    body_.append(aBody.data(), aBody.size());
    return aBody.size();
  }
  void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, string_view aBody, error_code&) override
  {
    body_.append(aBody.data(), aBody.size());
    return aBody.size();
  }
  void on_finish_impl(error_code&) override {}

  void CheckId()
  {
    if (connection_.idHeader_.empty() || head_.status_ < kFirstFinalStatus) {
      return;
    }
    const auto id =
      std::find_if(head_.headers_.begin(), head_.headers_.end(), [&](const Header& aHeader) {
        return boost::beast::iequals(aHeader.name_, connection_.idHeader_);
      });
    head_.identified_ = id != head_.headers_.end();
    stale_ = head_.identified_ ? id->value_ != connection_.id_ : connection_.echoesId_;
    connection_.echoesId_ = connection_.echoesId_ || head_.identified_;
  }

  HttpConnection& connection_;
};

HttpConnection::HttpConnection(asio::io_context& aContext, Address aAddress, const Clock& aClock)
  : socket_(aContext)
  , address_(std::move(aAddress))
  , clock_(aClock)
  , lastProgress_(aClock.Now())
{
}

HttpConnection::~HttpConnection() = default;

void
HttpConnection::Warm()
{
  used_ = true;
  Connect();
}

void
HttpConnection::Connect()
{
  state_ = State::Connecting;
  error_code error;
  const auto ip = asio::ip::make_address(address_.ip_, error);
  if (error) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->Fail(false); });
    return;
  }
  socket_.async_connect({ ip, address_.port_ }, [self = shared_from_this()](error_code aError) {
    if (self->state_ != State::Connecting) {
      return;
    }
    if (aError) {
      self->progress_.refused_ = aError == asio::error::connection_refused;
      self->Fail(true);
      return;
    }
    if (self->observer_ && self->clock_.Now() >= self->writeBy_) {
      self->Fail(false);
      return;
    }
    error_code ignored;
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->socket_.set_option(UserTimeout(kTcpUserTimeoutMs), ignored);
    redwing::SetSocketBuffers(self->socket_, self->socketBufferBytes_);
    self->state_ = State::Open;
    self->progress_.connected_ = true;
    self->input_.resize(kInitialInputBytes);
    self->lastProgress_ = self->clock_.Now();
    self->Read();
    self->Write();
  });
}

void
HttpConnection::Start(HttpRequest&& aRequest, std::shared_ptr<HttpObserver> aObserver)
{
  observer_ = std::move(aObserver);
  headMethod_ = aRequest.headMethod_;
  reader_ = std::make_unique<Reader>(*this, headMethod_);
  progress_ = {};
  progress_.connected_ = state_ == State::Open;
  progress_.reused_ = used_;
  used_ = true;
  lastProgress_ = clock_.Now();
  readCredit_ = aRequest.responseWindow_;
  chunked_ = aRequest.chunked_;
  idHeader_ = std::move(aRequest.idHeader_);
  id_ = std::move(aRequest.id_);
  writeBy_ = aRequest.writeBy_;
  staleBytes_ = 0;
  requestComplete_ = false;
  headDelivered_ = false;
  pending_ = std::move(aRequest.head_);
  AppendBody(std::move(aRequest.body_), aRequest.last_);
  if (state_ == State::New) {
    Connect();
  } else {
    Read();
    Write();
  }
}

void
HttpConnection::SendBody(std::string&& aBytes, bool aLast)
{
  if (state_ != State::Closed && observer_) {
    AppendBody(std::move(aBytes), aLast);
    Write();
  }
}

void
HttpConnection::AppendBody(std::string&& aBytes, bool aLast)
{
  pendingBody_ += aBytes.size();
  if (!chunked_) {
    pending_.append(aBytes);
  } else {
    if (!aBytes.empty()) {
      constexpr int kHex = 16;
      std::array<char, kHex> size{};
      const auto end = std::to_chars(size.begin(), size.end(), aBytes.size(), kHex).ptr;
      pending_.append(size.data(), end).append("\r\n").append(aBytes).append("\r\n");
    }
    if (aLast) {
      pending_.append("0\r\n\r\n");
    }
  }
  requestComplete_ = requestComplete_ || aLast;
}

void
HttpConnection::AddReadCredit(std::size_t aBytes)
{
  readCredit_ += aBytes;
  Read();
}

void
HttpConnection::Write()
{
  if (writeActive_ || state_ != State::Open || pending_.empty()) {
    return;
  }
  writeActive_ = true;
  progress_.wrote_ = true;
  writing_.swap(pending_);
  pending_.clear();
  writingBody_ = std::exchange(pendingBody_, 0);
  asio::async_write(
    socket_, asio::buffer(writing_), [self = shared_from_this()](error_code aError, std::size_t) {
      self->writeActive_ = false;
      if (self->state_ != State::Open) {
        return;
      }
      if (aError) {
        // The server may have stopped reading and still send a response, so the connection is left
        // to the pending read. A socket reports its error once, so the read may see a clean end.
        self->writeFailed_ = true;
        return;
      }
      self->lastProgress_ = self->clock_.Now();
      if (self->observer_ && self->writingBody_ > 0) {
        const auto observer = self->observer_;
        observer->OnRequestWritten(self->writingBody_);
      }
      self->Write();
    });
}

void
HttpConnection::Read()
{
  // Idle connections have a pending read too, so that a close by the server is noticed at once.
  if (reading_ || state_ != State::Open || (observer_ && readCredit_ == 0)) {
    return;
  }
  reading_ = true;
  const auto free = input_.size() - inputBytes_;
  const auto readSize = observer_ ? std::min(free, readCredit_) : free;
  socket_.async_read_some(asio::buffer(input_.data() + inputBytes_, readSize),
                          [self = shared_from_this()](error_code aError, std::size_t aBytes) {
                            self->reading_ = false;
                            if (self->state_ != State::Open) {
                              return;
                            }
                            if (aError) {
                              self->OnEnd(aError == asio::error::eof);
                            } else if (!self->observer_) {
                              // Unrequested bytes could be mistaken for the next response.
                              self->Fail(true);
                            } else {
                              self->OnRead(aBytes);
                            }
                          });
}

void
HttpConnection::OnRead(std::size_t aBytes)
{
  lastProgress_ = clock_.Now();
  progress_.responseStarted_ = true;
  inputBytes_ += aBytes;
  std::size_t used = 0;
  error_code error;
  while (used < inputBytes_ && !reader_->is_done()) {
    const auto parsed = reader_->put(asio::buffer(input_.data() + used, inputBytes_ - used), error);
    used += parsed;
    if (error) {
      break;
    }
    if (reader_->is_header_done() &&
        (reader_->head_.status_ < kFirstStatus || reader_->head_.status_ > kLastStatus)) {
      Fail(true);
      return;
    }
    if (reader_->is_done() && (reader_->head_.status_ < kFirstFinalStatus || reader_->stale_)) {
      staleBytes_ += parsed;
      reader_ = std::make_unique<Reader>(*this, headMethod_);
    }
  }
  if ((error && error != http::error::need_more) || !DiscardStaleBody()) {
    Fail(true);
    return;
  }
  std::memmove(input_.data(), input_.data() + used, inputBytes_ - used);
  inputBytes_ -= used;
  if (inputBytes_ == input_.size()) {
    if (input_.size() >= kMaxInputBytes) {
      Fail(true);
      return;
    }
    input_.resize(input_.size() * 2);
  }
  Deliver();
  Read();
}

bool
HttpConnection::DiscardStaleBody()
{
  if (reader_->stale_) {
    staleBytes_ += reader_->body_.size();
    reader_->body_.clear();
  }
  return staleBytes_ <= kMaxStaleBytes;
}

void
HttpConnection::Deliver()
{
  if (!reader_->is_header_done() || reader_->head_.status_ < kFirstFinalStatus || reader_->stale_) {
    return;
  }
  const bool last = reader_->is_done();
  std::string body = std::move(reader_->body_);
  reader_->body_.clear();
  readCredit_ -= std::min(readCredit_, body.size());
  auto observer = observer_;
  if (last) {
    const bool reusable = reader_->keep_alive() && !reader_->need_eof() && requestComplete_ &&
                          pending_.empty() && !writeActive_ && !writeFailed_ && inputBytes_ == 0;
    observer_.reset();
    if (!reusable) {
      Close();
    }
  }
  if (!headDelivered_) {
    headDelivered_ = true;
    observer->OnResponse(std::move(reader_->head_), std::move(body), last);
  } else if (!body.empty() || last) {
    observer->OnResponseBody(std::move(body), last);
  }
}

void
HttpConnection::OnEnd(bool aClean)
{
  // An end of the connection ends a response without a length only if nothing has gone wrong on the
  // connection: a server that has not got the whole request may have been reset midway.
  const bool written = requestComplete_ && pending_.empty() && !writeActive_ && !writeFailed_;
  if (observer_ && aClean && written && reader_->is_header_done() && !reader_->is_done() &&
      !reader_->stale_) {
    error_code error;
    reader_->put_eof(error);
    if (!error && reader_->is_done()) {
      Deliver();
      return;
    }
  }
  Fail(true);
}

void
HttpConnection::Fail(bool aClosedByServer)
{
  if (state_ == State::Closed) {
    return;
  }
  state_ = State::Closed;
  error_code ignored;
  socket_.close(ignored);
  progress_.closedByServer_ = aClosedByServer;
  // Called before the observer, so that the pool has already released the connection and the
  // observer can open another one.
  if (auto hook = std::exchange(closedHook_, nullptr)) {
    hook();
  }
  if (auto observer = std::exchange(observer_, nullptr)) {
    observer->OnFailed(progress_);
  }
}

void
HttpConnection::Close()
{
  Fail(false);
}

} // namespace redwing
