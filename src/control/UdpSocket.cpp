#include "control/UdpSocket.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <utility>

namespace redwing {

using boost::asio::ip::udp;

namespace {

udp::endpoint
EndpointOf(const Address& aAddress)
{
  boost::system::error_code error;
  return { boost::asio::ip::make_address_v4(aAddress.ip_, error), aAddress.port_ };
}

} // namespace

UdpSocket::UdpSocket(boost::asio::io_context& aContext, OnDatagram aOnDatagram)
  : socket_(aContext)
  , onDatagram_(std::move(aOnDatagram))
{
}

std::string
UdpSocket::Open(const Address& aAddress)
{
  boost::system::error_code error;
  socket_.open(udp::v4(), error);
  if (!error) {
    socket_.bind(EndpointOf(aAddress), error);
  }
  if (!error) {
    socket_.non_blocking(true, error);
  }
  if (error) {
    return error.message();
  }
  Receive();
  return {};
}

void
UdpSocket::Send(const Address& aTo, std::string_view aBytes)
{
  boost::system::error_code ignored;
  socket_.send_to(boost::asio::buffer(aBytes.data(), aBytes.size()), EndpointOf(aTo), 0, ignored);
}

void
UdpSocket::Close()
{
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void
UdpSocket::Receive()
{
  socket_.async_receive_from(boost::asio::buffer(buffer_),
                             from_,
                             [this](const boost::system::error_code& aError, std::size_t aBytes) {
                               if (!socket_.is_open()) {
                                 return;
                               }
                               if (!aError) {
                                 onDatagram_({ buffer_.data(), aBytes });
                               }
                               Receive();
                             });
}

} // namespace redwing
