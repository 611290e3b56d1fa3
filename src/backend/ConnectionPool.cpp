#include "backend/ConnectionPool.hpp"

#include <algorithm>

namespace redwing {

ConnectionPool::ConnectionPool(boost::asio::io_context& aContext, const Clock& aClock)
  : context_(aContext)
  , clock_(aClock)
{
}

void
ConnectionPool::SetTarget(const Address& aAddress, std::size_t aLimit)
{
  limit_ = mostConnections_ == 0 ? aLimit : std::min(aLimit, mostConnections_);
  if (aAddress != address_) {
    Clear();
    address_ = aAddress;
  }
}

void
ConnectionPool::SetBounds(std::size_t aConnections, int aSocketBufferBytes)
{
  mostConnections_ = aConnections;
  socketBufferBytes_ = aSocketBufferBytes;
}

void
ConnectionPool::Warm(std::size_t aCount)
{
  while (idle_.size() < aCount && open_ < limit_) {
    auto connection = CreateConnection();
    idle_.insert(idle_.begin(), connection);
    connection->Warm();
  }
}

std::shared_ptr<HttpConnection>
ConnectionPool::Acquire(bool aNewConnection)
{
  while (!idle_.empty() && !aNewConnection) {
    auto connection = idle_.back();
    idle_.pop_back();
    if (connection->Idle()) {
      return connection;
    }
  }
  if (open_ >= limit_ && !idle_.empty()) {
    // A copy, because closing the connection removes it from idle_.
    const auto oldest = idle_.front();
    oldest->Close();
  }
  return open_ < limit_ ? CreateConnection() : nullptr;
}

std::shared_ptr<HttpConnection>
ConnectionPool::CreateConnection()
{
  auto connection = std::make_shared<HttpConnection>(context_, address_, clock_);
  connection->SetSocketBuffers(socketBufferBytes_);
  ++open_;
  connection->SetClosedHook([pool = weak_from_this(), raw = connection.get()] {
    if (const auto self = pool.lock()) {
      --self->open_;
      std::erase_if(self->idle_, [raw](const auto& aIdle) { return aIdle.get() == raw; });
    }
  });
  return connection;
}

void
ConnectionPool::Release(const std::shared_ptr<HttpConnection>& aConnection)
{
  if (aConnection->Idle() && aConnection->Target() == address_) {
    idle_.push_back(aConnection);
  } else {
    aConnection->Close();
  }
}

void
ConnectionPool::Clear()
{
  const auto idle = idle_;
  for (const auto& connection : idle) {
    connection->Close();
  }
}

} // namespace redwing
