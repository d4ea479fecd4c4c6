export {FindingsError, formatFinding, type Finding} from './finding.js';
export {parseIni, type IniDocument, type IniEntry, type IniSection} from './ini-document.js';
export {reportUnknownSections, SectionReader, type NumberRule} from './section-reader.js';
