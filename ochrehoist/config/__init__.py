"""Configuration: read, checked and given defaults here, and nowhere else.

loader finds the file and gives a schema.Config; platform_file (JSON) and appliance_file (TOML) read the two
kinds of file, settings the object that both have, and operator_tables, ajp_tables and fleet the tables of an
appliance. json_reader, toml_reader and source read large files in steps and find what did not change;
comparison says what of a change can come into force while the worker runs.
"""
