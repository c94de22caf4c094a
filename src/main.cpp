/** @file main.cpp Entry point of the command line program. */
#include "cli_func.hpp"

int main(int argc, char** argv)
{
    return sniperock::run_command_line({argv + 1, argv + argc});
}
