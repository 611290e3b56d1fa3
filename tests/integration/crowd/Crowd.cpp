#include "tests/integration/crowd/Crowd.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace redwing::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class Crowd::Caller : public std::enable_shared_from_this<Caller>
{
public:
  Caller(Crowd& aCrowd, std::size_t aNumber)
    : crowd_(aCrowd)
    , number_(aNumber)
    , socket_(aCrowd.context_)
    , timer_(aCrowd.context_)
    , left_(aCrowd.plan_.bodyBytes_)
  {
  }

  void Start(const tcp::endpoint& aEndpoint)
  {
    error_code ignored;
    if (!crowd_.plan_.reads_) {
      socket_.open(tcp::v4(), ignored);
      socket_.set_option(asio::socket_base::receive_buffer_size(kSlowBufferBytes), ignored);
    }
    socket_.async_connect(aEndpoint, [self = shared_from_this()](error_code aError) {
      if (!aError) {
        const CallerPlan& plan = self->crowd_.plan_;
        self->Write(plan.headOf_ ? plan.headOf_(self->number_) : plan.head_);
        self->Read();
      }
    });
  }

private:
  static constexpr int kSlowBufferBytes = 4096;

  void Write(std::string aText)
  {
    text_ = std::move(aText);
    asio::async_write(
      socket_, asio::buffer(text_), [self = shared_from_this()](error_code aError, std::size_t) {
        if (!aError && self->left_ > 0) {
          self->timer_.expires_after(self->crowd_.plan_.pause_);
          self->timer_.async_wait([self](error_code) { self->WritePiece(); });
        }
      });
  }

  void WritePiece()
  {
    const std::size_t bytes = std::min(left_, crowd_.plan_.pieceBytes_);
    left_ -= bytes;
    const std::string& filler = crowd_.plan_.filler_;
    std::string piece;
    while (piece.size() < bytes) {
      piece.append(filler);
    }
    piece.resize(bytes);
    Write(std::move(piece));
  }

  void Read()
  {
    if (!crowd_.plan_.reads_) {
      return;
    }
    socket_.async_read_some(asio::buffer(input_),
                            [self = shared_from_this()](error_code aError, std::size_t) {
                              if (!aError) {
                                self->Read();
                              }
                            });
  }

  Crowd& crowd_;
  std::size_t number_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::size_t left_;
  std::string text_;
  std::array<char, 16 * 1024> input_{};
};

Crowd::Crowd(const std::vector<Address>& aAddresses, std::size_t aCallers, CallerPlan aPlan)
  : plan_(std::move(aPlan))
{
  for (std::size_t i = 0; i < aCallers; ++i) {
    const Address& address = aAddresses[i % aAddresses.size()];
    callers_.push_back(std::make_shared<Caller>(*this, i));
    callers_.back()->Start({ asio::ip::make_address(address.ip_), address.port_ });
  }
  thread_ = std::thread([this] { context_.run(); });
}

Crowd::~Crowd()
{
  context_.stop();
  thread_.join();
  callers_.clear();
}

} // namespace redwing::test
