#include "store/EtcdClient.hpp"

#include "store/EtcdWatch.hpp"
#include "store/StoreHttp.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace redwing::Detail {

EtcdClient::~EtcdClient() = default;

std::shared_ptr<EtcdClient>
EtcdClient::Self()
{
  return std::static_pointer_cast<EtcdClient>(shared_from_this());
}

void
EtcdClient::PostWatch(HttpStoreRequest aRequest, Store::WatchCallback aEvents)
{
  boost::asio::post(
    Context(),
    [self = Self(), request = std::move(aRequest), events = std::move(aEvents)]() mutable {
      self->StartWatch(std::move(request), std::move(events));
    });
}

void
EtcdClient::StartWatch(HttpStoreRequest aRequest, Store::WatchCallback aEvents)
{
  if (Closed()) {
    return;
  }
  if (!TryAcquire()) {
    aEvents(tl::unexpected(BudgetError()));
    return;
  }
  auto watch = std::make_shared<EtcdWatch>(Self(), std::move(aRequest), std::move(aEvents));
  std::erase_if(watches_, [](const auto& aItem) { return aItem.expired(); });
  watches_.push_back(watch);
  watch->Start();
}

void
EtcdClient::Close()
{
  HttpClient::Close();
  for (const auto& item : std::exchange(watches_, {})) {
    if (const auto watch = item.lock()) {
      watch->Cancel();
    }
  }
}

} // namespace redwing::Detail
