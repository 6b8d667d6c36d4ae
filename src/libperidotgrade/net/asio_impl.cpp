// The one place where Boost.Asio and Boost.Beast are compiled.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
