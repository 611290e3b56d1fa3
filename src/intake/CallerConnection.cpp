#include "intake/CallerConnection.hpp"

#include "intake/Exchange.hpp"
#include "intake/IntakeCore.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cstring>

namespace redwing::Detail {

namespace {

constexpr std::size_t kFirstBufferBytes = 4 * 1024;
constexpr std::size_t kMaxBufferBytes = 32 * 1024;
/// No further request is begun while this many response bytes wait for a slow caller.
constexpr std::size_t kMaxBacklogBytes = kBodyWindowBytes;
/// Time for a caller to read the last response before the connection is closed for good.
constexpr Duration kLinger = std::chrono::seconds(1);

bool
HasObsFold(std::string_view aHead)
{
  return aHead.find("\n ") != std::string_view::npos ||
         aHead.find("\n\t") != std::string_view::npos;
}

} // namespace

CallerConnection::CallerConnection(IntakeCore& aCore,
                                   boost::asio::ip::tcp::socket aSocket,
                                   OnClosed aOnClosed)
  : core_(aCore)
  , socket_(std::move(aSocket))
  , onClosed_(std::move(aOnClosed))
  , buffer_(kFirstBufferBytes)
  , lastRead_(aCore.Now())
  , lastWrite_(lastRead_)
{
}

CallerConnection::~CallerConnection() = default;

void
CallerConnection::Start()
{
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  ReadMore();
}

void
CallerConnection::Close()
{
  if (closed_) {
    return;
  }
  const auto self = shared_from_this();
  const IntakeCore::Scope scope(core_);
  closed_ = true;
  if (exchange_) {
    exchange_->OnCallerGone();
    core_.Retire(std::move(exchange_));
  }
  boost::system::error_code ignored;
  socket_.close(ignored);
  onClosed_(*this);
}

void
CallerConnection::Sweep(TimePoint aNow)
{
  const IntakeSettings& settings = core_.Settings();
  const Duration sinceRead = aNow - lastRead_;
  const Duration sinceWrite = aNow - lastWrite_;
  if (closing_ && !writing_) {
    if (sinceWrite > kLinger) {
      Close();
    }
    return;
  }
  const bool writeStalled = writing_ && sinceWrite > settings.progressTimeout_;
  const bool bodyStalled =
    exchange_ && !bodyDone_ && exchange_->WantsBody() && sinceRead > settings.progressTimeout_;
  const bool headStalled = !exchange_ && begin_ != end_ && sinceRead > settings.progressTimeout_;
  const bool idle =
    !exchange_ && !writing_ && std::min(sinceRead, sinceWrite) > settings.idleTimeout_;
  if (writeStalled || bodyStalled || headStalled || idle) {
    Close();
  }
}

void
CallerConnection::CloseIfIdle()
{
  if (!exchange_ && begin_ == end_ && !writing_) {
    BeginClosing();
  }
}

void
CallerConnection::Flush(std::size_t aBodyBytes)
{
  outBody_ += aBodyBytes;
  Write();
}

void
CallerConnection::EndResponse()
{
  responseDone_ = true;
  outBody_ = 0;
  inFlightBody_ = 0;
  Pump();
}

void
CallerConnection::AbortResponse()
{
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  Close();
}

void
CallerConnection::ResumeBody()
{
  Pump();
}

bool
CallerConnection::KeepsAlive() const
{
  return bodyDone_ && parser_ && parser_->keep_alive() && SpeaksHttp11() && !core_.ShuttingDown();
}

void
CallerConnection::Pump()
{
  if (pumping_) {
    pumpAgain_ = true;
    return;
  }
  const auto self = shared_from_this();
  const IntakeCore::Scope scope(core_);
  pumping_ = true;
  do {
    pumpAgain_ = false;
    while (Step()) {
    }
  } while (pumpAgain_);
  pumping_ = false;
  ReadMore();
}

bool
CallerConnection::Step()
{
  if (closed_ || closing_) {
    return false;
  }
  if (responseDone_) {
    return NextRequest();
  }
  if (!exchange_) {
    return out_.size() <= kMaxBacklogBytes && ParseHead();
  }
  return !bodyDone_ && exchange_->WantsBody() && ParseBody();
}

bool
CallerConnection::NextRequest()
{
  const bool keep = exchange_ && exchange_->KeepsConnection();
  responseDone_ = false;
  if (exchange_) {
    core_.Retire(std::move(exchange_));
  }
  if (!keep) {
    BeginClosing();
    return false;
  }
  parser_.reset();
  return true;
}

bool
CallerConnection::ParseHead()
{
  while (begin_ < end_ && (buffer_[begin_] == '\r' || buffer_[begin_] == '\n')) {
    ++begin_;
    scanned_ = 0;
  }
  constexpr std::string_view kEnd = "\r\n\r\n";
  const std::string_view unread = Unread();
  const std::size_t end = unread.find(kEnd, scanned_);
  const std::size_t limit = core_.Settings().maxHeaderBytes_;
  if (end == std::string_view::npos) {
    scanned_ = unread.size() < kEnd.size() ? 0 : unread.size() - kEnd.size() + 1;
    if (unread.size() >= limit) {
      RejectHead("the request head is too large");
    }
    return false;
  }
  scanned_ = 0;
  const std::size_t headBytes = end + kEnd.size();
  parser_.emplace();
  if (headBytes > limit) {
    RejectHead("the request head is too large");
    return false;
  }
  if (HasObsFold(unread.substr(0, headBytes))) {
    RejectHead("a header is folded");
    return false;
  }
  parser_->header_limit(static_cast<std::uint32_t>(headBytes + 1));
  parser_->body_limit(boost::none);
  boost::system::error_code error;
  parser_->put(boost::asio::buffer(unread.data(), headBytes), error);
  begin_ += headBytes;
  // A head without headers leaves the parser waiting for the line end that put was given already.
  if (error || !parser_->is_header_done()) {
    RejectHead("the request head is malformed");
    return false;
  }
  if (parser_->ambiguousFraming_ || parser_->hosts_ > 1 ||
      (parser_->hosts_ == 0 && SpeaksHttp11())) {
    RejectHead("the Host or framing headers are invalid");
    return false;
  }
  BeginExchange();
  return true;
}

void
CallerConnection::BeginExchange()
{
  core_.RefreshView();
  bodyDone_ = parser_->is_done();
  std::optional<std::uint64_t> length;
  if (const auto known = parser_->content_length()) {
    length = *known;
  }
  exchange_ = std::make_unique<Exchange>(core_, *this);
  exchange_->Begin(std::move(parser_->method_),
                   std::move(parser_->target_),
                   std::move(parser_->headers_),
                   length,
                   bodyDone_);
}

void
CallerConnection::RejectHead(const char* aFault)
{
  core_.RefreshView();
  bodyDone_ = false;
  exchange_ = std::make_unique<Exchange>(core_, *this);
  exchange_->Reject(aFault);
}

bool
CallerConnection::ParseBody()
{
  if (begin_ == end_) {
    return false;
  }
  boost::system::error_code error;
  const std::size_t used =
    parser_->put(boost::asio::buffer(Unread().data(), Unread().size()), error);
  begin_ += used;
  const bool full = end_ - begin_ >= kMaxBufferBytes;
  if (error == boost::beast::http::error::need_more && !full) {
    error = {};
  }
  if (error) {
    exchange_->OnMalformedBody();
    return false;
  }
  bodyDone_ = parser_->is_done();
  if (!parser_->body_.empty() || bodyDone_) {
    std::string body;
    body.swap(parser_->body_);
    exchange_->OnBody(std::move(body), bodyDone_);
  }
  return used > 0;
}

bool
CallerConnection::MakeRoom()
{
  if (begin_ == end_) {
    begin_ = 0;
    end_ = 0;
  }
  if (end_ < buffer_.size()) {
    return true;
  }
  if (begin_ > 0) {
    std::memmove(buffer_.data(), buffer_.data() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
    return true;
  }
  if (buffer_.size() >= kMaxBufferBytes) {
    return false;
  }
  buffer_.resize(std::min(buffer_.size() * 2, kMaxBufferBytes));
  return true;
}

void
CallerConnection::ReadMore()
{
  if (closed_ || reading_ || !MakeRoom()) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
    boost::asio::buffer(buffer_.data() + end_, buffer_.size() - end_),
    [self = shared_from_this()](const boost::system::error_code& aError, std::size_t aBytes) {
      self->OnRead(aError, aBytes);
    });
}

void
CallerConnection::OnRead(const boost::system::error_code& aError, std::size_t aBytes)
{
  reading_ = false;
  if (closed_) {
    return;
  }
  if (aError) {
    // A caller that closes its sending side is taken to be gone.
    Close();
    return;
  }
  lastRead_ = core_.Now();
  if (closing_) {
    // Unread bytes at close would reset the connection and destroy the response on its way.
    begin_ = 0;
    end_ = 0;
    ReadMore();
    return;
  }
  end_ += aBytes;
  Pump();
}

void
CallerConnection::Write()
{
  if (closed_ || writing_) {
    return;
  }
  while (!out_.empty()) {
    inFlight_.clear();
    inFlight_.swap(out_);
    inFlightBody_ = std::exchange(outBody_, 0);
    boost::system::error_code error;
    // The socket buffer takes most responses at once, which saves a handler per response.
    const std::size_t sent = socket_.write_some(boost::asio::buffer(inFlight_), error);
    if (error && error != boost::asio::error::would_block) {
      inFlight_.clear();
      boost::asio::post(socket_.get_executor(), [self = shared_from_this()] { self->Close(); });
      return;
    }
    lastWrite_ = core_.Now();
    if (sent < inFlight_.size()) {
      writing_ = true;
      boost::asio::async_write(
        socket_,
        boost::asio::buffer(inFlight_.data() + sent, inFlight_.size() - sent),
        [self = shared_from_this()](const boost::system::error_code& aError, std::size_t) {
          self->OnWritten(aError);
        });
      return;
    }
    if (exchange_ && inFlightBody_ > 0) {
      exchange_->OnResponseWritten(std::exchange(inFlightBody_, 0));
    }
  }
}

void
CallerConnection::OnWritten(const boost::system::error_code& aError)
{
  writing_ = false;
  if (closed_) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  const IntakeCore::Scope scope(core_);
  lastWrite_ = core_.Now();
  if (exchange_ && inFlightBody_ > 0) {
    exchange_->OnResponseWritten(std::exchange(inFlightBody_, 0));
  }
  Write();
  if (closing_ && !writing_) {
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    return;
  }
  Pump();
}

void
CallerConnection::BeginClosing()
{
  if (closing_ || closed_) {
    return;
  }
  closing_ = true;
  lastWrite_ = core_.Now();
  begin_ = 0;
  end_ = 0;
  if (!writing_) {
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }
  ReadMore();
}

} // namespace redwing::Detail
