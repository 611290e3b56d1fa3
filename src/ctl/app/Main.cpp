#include "ctl/CommandLine.hpp"
#include "ctl/HttpTransport.hpp"

#include <iostream>

int
main(int argc, char** argv)
{
  return redwing::ctl::Run(
    { argv + 1, argv + argc }, redwing::ctl::MakeHttpTransport, std::cout, std::cerr);
}
