#include "store/HttpClient.hpp"

#include "store/HttpCall.hpp"
#include "store/StoreHttp.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace redwing::Detail {

HttpClient::HttpClient(boost::asio::io_context& aContext,
                       const Clock& aClock,
                       std::uint64_t aSeed,
                       HttpClientSettings aSettings)
  : context_(aContext)
  , clock_(aClock)
  , settings_(std::move(aSettings))
  , budget_(aClock, aSeed, settings_.budget_)
{
}

HttpClient::~HttpClient() = default;

void
HttpClient::Post(HttpStoreRequest aRequest, StoreCallback<HttpStoreReply> aDone)
{
  boost::asio::post(
    context_,
    [self = shared_from_this(), request = std::move(aRequest), done = std::move(aDone)]() mutable {
      self->Begin(std::move(request), std::move(done));
    });
}

std::shared_ptr<HttpCall>
HttpClient::Begin(HttpStoreRequest aRequest, StoreCallback<HttpStoreReply> aDone)
{
  if (closed_) {
    return nullptr;
  }
  if (!budget_.TryAcquire()) {
    aDone(tl::unexpected(BudgetError()));
    return nullptr;
  }
  auto call = std::make_shared<HttpCall>(shared_from_this(), std::move(aRequest), std::move(aDone));
  std::erase_if(calls_, [](const auto& aItem) { return aItem.expired(); });
  calls_.push_back(call);
  call->Start();
  return call;
}

void
HttpClient::Close()
{
  closed_ = true;
  idle_.clear();
  for (const auto& item : std::exchange(calls_, {})) {
    if (const auto call = item.lock()) {
      call->Cancel();
    }
  }
}

boost::asio::ip::tcp::socket
HttpClient::TakeConnection()
{
  while (!idle_.empty()) {
    boost::asio::ip::tcp::socket socket = std::move(idle_.back());
    idle_.pop_back();
    // An idle connection has nothing to read; data or end of stream means that the store closed it.
    // Checking here keeps a write from being sent on it, which would leave its outcome unknown.
    boost::system::error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    if (error == boost::asio::error::would_block) {
      return socket;
    }
  }
  return boost::asio::ip::tcp::socket(context_);
}

void
HttpClient::KeepConnection(boost::asio::ip::tcp::socket aSocket)
{
  if (!closed_ && idle_.size() < settings_.idleConnections_) {
    idle_.push_back(std::move(aSocket));
  }
}

void
HttpClient::ReportCall(bool aAnswered)
{
  if (aAnswered) {
    budget_.OnSuccess();
  } else {
    budget_.OnError();
  }
}

} // namespace redwing::Detail
