#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace redwing::test {

struct FakeRequest
{
  std::string method_;
  std::string target_;
  /// Request line and headers.
  std::string head_;
  std::string body_;
};

/// Minimal HTTP server with a thread per connection. The handler returns the raw response, and sets
/// closeAfter_ or resetAfter_ to end the connection after an empty or incomplete one.
class FakeServer
{
public:
  struct Response
  {
    std::string text_;
    bool closeAfter_ = false;
    /// Sends another 64 KiB every millisecond until the connection is closed.
    bool endless_ = false;
    /// Ends the connection after the response with a reset.
    bool resetAfter_ = false;
    /// Bytes sent after a pause of lateAfter_, before the next request is read.
    std::string late_{};
    std::chrono::milliseconds lateAfter_{ 20 };
    /// Text that an endless response repeats.
    std::string filler_ = "x";
  };
  using Handler = std::function<Response(const FakeRequest&)>;

  /// Port 0 takes any free port.
  explicit FakeServer(Handler aHandler, std::uint16_t aPort = 0)
    : handler_(std::move(aHandler))
    , acceptor_(context_, { boost::asio::ip::make_address("127.0.0.1"), aPort })
    , port_(acceptor_.local_endpoint().port())
    , thread_([this] { AcceptLoop(); })
  {
  }
  ~FakeServer() { Crash(); }

  std::uint16_t Port() const { return port_; }

  /// Closes the listener and all connections.
  void Crash()
  {
    if (stopped_.exchange(true)) {
      return;
    }
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
    acceptor_.close();
    CloseConnections();
    for (auto& worker : workers_) {
      worker.join();
    }
  }

  void CloseConnections()
  {
    std::lock_guard lock(mutex_);
    for (auto& socket : sockets_) {
      ::shutdown(socket->native_handle(), SHUT_RDWR);
    }
  }

  static std::string Ok(const std::string& aBody, const std::string& aHeaders = {})
  {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n" +
           aHeaders + "\r\n" + aBody;
  }

private:
  using Socket = boost::asio::ip::tcp::socket;

  void AcceptLoop()
  {
    for (;;) {
      auto socket = std::make_shared<Socket>(context_);
      boost::system::error_code error;
      acceptor_.accept(*socket, error);
      if (error) {
        return;
      }
      socket->set_option(boost::asio::ip::tcp::no_delay(true), error);
      std::lock_guard lock(mutex_);
      sockets_.push_back(socket);
      workers_.emplace_back([this, socket] { Serve(*socket); });
    }
  }

  void Serve(Socket& aSocket)
  {
    std::string buffer;
    boost::system::error_code error;
    while (!error) {
      const auto size =
        boost::asio::read_until(aSocket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", error);
      if (error) {
        break;
      }
      FakeRequest request;
      request.head_ = buffer.substr(0, size);
      buffer.erase(0, size);
      request.method_ = request.head_.substr(0, request.head_.find(' '));
      const auto begin = request.method_.size() + 1;
      request.target_ = request.head_.substr(begin, request.head_.find(' ', begin) - begin);
      const std::string name = "\r\nContent-Length: ";
      if (const auto at = request.head_.find(name); at != std::string::npos) {
        const auto length = std::stoul(request.head_.substr(at + name.size()));
        if (buffer.size() < length) {
          boost::asio::read(aSocket,
                            boost::asio::dynamic_buffer(buffer),
                            boost::asio::transfer_exactly(length - buffer.size()),
                            error);
        }
        request.body_ = buffer.substr(0, length);
        buffer.erase(0, length);
      }
      const auto answer = handler_(request);
      boost::asio::write(aSocket, boost::asio::buffer(answer.text_), error);
      std::string more;
      while (answer.endless_ && more.size() < 64 * 1024) {
        more.append(answer.filler_);
      }
      while (answer.endless_ && !error) {
        boost::asio::write(aSocket, boost::asio::buffer(more), error);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      if (!answer.late_.empty()) {
        std::this_thread::sleep_for(answer.lateAfter_);
        boost::asio::write(aSocket, boost::asio::buffer(answer.late_), error);
      }
      if (answer.resetAfter_) {
        std::lock_guard lock(mutex_);
        aSocket.set_option(boost::asio::socket_base::linger(true, 0), error);
        aSocket.close(error);
        return;
      }
      if (answer.closeAfter_) {
        break;
      }
    }
    std::lock_guard lock(mutex_);
    ::shutdown(aSocket.native_handle(), SHUT_RDWR);
  }

  Handler handler_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_;
  std::atomic<bool> stopped_{ false };
  std::mutex mutex_;
  std::list<std::shared_ptr<Socket>> sockets_;
  std::vector<std::thread> workers_;
  std::thread thread_;
};

} // namespace redwing::test
