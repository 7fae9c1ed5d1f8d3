"""Configuration: the only package that reads, validates and applies defaults to settings.

- `loader` finds the configuration file and returns a `schema.Config`.
- `platform_file` (JSON) and `appliance_file` (TOML) read the two kinds of file.
- `settings` reads the settings object that both kinds contain.
- `operator_tables`, `ajp_tables` and `fleet` read the tables of an appliance's file.
- `json_reader`, `toml_reader` and `source` read large files in steps and detect unchanged elements.
- `comparison` determines which changes can be applied while the worker runs.
"""
