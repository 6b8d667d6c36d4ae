// The only translation unit that compiles the non-inline parts of Boost.Asio and Boost.Beast.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
