#include "daemon/DutyThread.hpp"

#include <pthread.h>
#include <utility>

namespace redwing {

DutyThread::DutyThread(std::string aName)
  : name_(std::move(aName))
  , work_(context_.get_executor())
{
}

DutyThread::~DutyThread()
{
  Stop();
}

void
DutyThread::Start()
{
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), name_.c_str());
    context_.run();
  });
}

void
DutyThread::Stop()
{
  if (!thread_.joinable()) {
    return;
  }
  work_.reset();
  context_.stop();
  thread_.join();
}

} // namespace redwing
