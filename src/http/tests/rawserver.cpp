#include "http/tests/rawserver.h"

namespace rosemaryshift::http::testing {

namespace net = boost::asio;
using net::ip::tcp;

RawServer::RawServer()
    : m_acceptor(m_context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0))
    , m_socket(m_context)
{
}

Endpoint RawServer::endpoint() const
{
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

void RawServer::run(std::chrono::milliseconds time)
{
    m_context.restart();
    m_context.run_for(time);
}

void RawServer::accept()
{
    m_socket = m_acceptor.accept();
}

void RawServer::send(std::string_view bytes)
{
    net::write(m_socket, net::buffer(bytes));
}

void RawServer::end()
{
    m_socket.shutdown(tcp::socket::shutdown_send);
}

void RawServer::reset()
{
    m_socket.set_option(net::socket_base::linger(true, 0));
    m_socket.close();
}

net::io_context &RawServer::context()
{
    return m_context;
}

}
