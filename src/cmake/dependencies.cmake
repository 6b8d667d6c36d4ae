# Libraries of the distribution. Their packages are listed in .ci/packages.
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json url unit_test_framework)
find_library(THRIFT_LIBRARY thrift REQUIRED)
find_library(LOG4CPLUS_LIBRARY log4cplus REQUIRED)
find_library(CRYPTO_LIBRARY crypto REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)

# Separate compilation: Boost.Asio and Boost.Beast are compiled in one source file instead of in every one.
add_library(peridot_boost INTERFACE)
target_compile_definitions(peridot_boost INTERFACE BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_SEPARATE_COMPILATION
                                                   BOOST_BEAST_SEPARATE_COMPILATION)
target_link_libraries(peridot_boost INTERFACE Boost::headers Boost::json Boost::url Threads::Threads)
