#include "store/EtcdClient.hpp"

#include "store/EtcdCall.hpp"
#include "store/EtcdWatch.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace redwing::Detail {

namespace {

StoreError
BudgetError()
{
  return { StoreErrorKind::BudgetExceeded, "call budget used up or back-off running" };
}

template<typename T>
void
RemoveExpired(std::vector<std::weak_ptr<T>>& aList)
{
  std::erase_if(aList, [](const std::weak_ptr<T>& aItem) { return aItem.expired(); });
}

} // namespace

EtcdClient::EtcdClient(boost::asio::io_context& aContext,
                       const Clock& aClock,
                       std::uint64_t aSeed,
                       EtcdStoreSettings aSettings)
  : context_(aContext)
  , settings_(std::move(aSettings))
  , budget_(aClock, aSeed, settings_.budget_)
{
}

EtcdClient::~EtcdClient() = default;

void
EtcdClient::Post(EtcdRequest aRequest, StoreCallback<std::string> aDone)
{
  boost::asio::post(
    context_,
    [self = shared_from_this(), request = std::move(aRequest), done = std::move(aDone)]() mutable {
      self->Start(std::move(request), std::move(done));
    });
}

void
EtcdClient::PostWatch(EtcdRequest aRequest, Store::WatchCallback aEvents)
{
  boost::asio::post(context_,
                    [self = shared_from_this(),
                     request = std::move(aRequest),
                     events = std::move(aEvents)]() mutable {
                      self->StartWatch(std::move(request), std::move(events));
                    });
}

void
EtcdClient::Start(EtcdRequest aRequest, StoreCallback<std::string> aDone)
{
  if (closed_) {
    return;
  }
  if (!budget_.TryAcquire()) {
    aDone(tl::unexpected(BudgetError()));
    return;
  }
  auto call = std::make_shared<EtcdCall>(shared_from_this(), std::move(aRequest), std::move(aDone));
  RemoveExpired(calls_);
  calls_.push_back(call);
  call->Start();
}

void
EtcdClient::StartWatch(EtcdRequest aRequest, Store::WatchCallback aEvents)
{
  if (closed_) {
    return;
  }
  if (!budget_.TryAcquire()) {
    aEvents(tl::unexpected(BudgetError()));
    return;
  }
  auto watch =
    std::make_shared<EtcdWatch>(shared_from_this(), std::move(aRequest), std::move(aEvents));
  RemoveExpired(watches_);
  watches_.push_back(watch);
  watch->Start();
}

void
EtcdClient::Close()
{
  closed_ = true;
  idle_.clear();
  for (const auto& item : std::exchange(calls_, {})) {
    if (const auto call = item.lock()) {
      call->Cancel();
    }
  }
  for (const auto& item : std::exchange(watches_, {})) {
    if (const auto watch = item.lock()) {
      watch->Cancel();
    }
  }
}

boost::asio::ip::tcp::socket
EtcdClient::TakeConnection()
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
EtcdClient::KeepConnection(boost::asio::ip::tcp::socket aSocket)
{
  if (!closed_ && idle_.size() < settings_.idleConnections_) {
    idle_.push_back(std::move(aSocket));
  }
}

void
EtcdClient::ReportCall(bool aAnswered)
{
  if (aAnswered) {
    budget_.OnSuccess();
  } else {
    budget_.OnError();
  }
}

} // namespace redwing::Detail
